package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/balsamgauge/balsamgauge/internal/soak"
)

// addSoak adds the command that runs the program under fault injection.
func (cmd *command) addSoak(app *kingpin.Application, actions map[string]action) {
	clause := app.Command("soak", "Run processes of the program against the stand-in of the platform and inject faults. Exits with 1 if an invariant was violated.")
	opt := soak.Options{}
	clause.Flag("seed", "Seed of the first run; it determines the schedule of faults.").Default("1").Uint64Var(&opt.Seed)
	runs := clause.Flag("runs", "Number of runs, with consecutive seeds.").Default("1").Int()
	clause.Flag("for", "Time for which faults are injected in a run.").Default("20s").DurationVar(&opt.For)
	clause.Flag("series", "Add faults that come in series and overlap.").Default("true").BoolVar(&opt.Series)
	clause.Flag("late-writes", "Add writes of the store that get no answer and are carried out late, callers that cancel jobs whose submission got none, and waves that are changed, withdrawn and requested again.").Default("false").BoolVar(&opt.LateWrites)
	clause.Flag("recut", "Add VMs that start again under their IDs and are cut off soon after, while long tasks run and the holder of the duty ends.").Default("false").BoolVar(&opt.Recut)
	clause.Flag("restarts", "Add crashes of many VMs of all pools at once, most of which are soon back under their IDs and carry out what was meant for their former incarnations, while long tasks run and the holder of the duty ends.").Default("false").BoolVar(&opt.Restarts)
	clause.Flag("final-crash", "Let all VMs crash once the other faults have ended.").Default("true").BoolVar(&opt.FinalCrash)
	clause.Flag("processes", "Number of processes of the program.").Default("3").IntVar(&opt.Processes)
	clause.Flag("machines", "Number of VMs that the stand-in has in each of two pools.").Default("4").IntVar(&opt.Machines)
	dir := clause.Flag("dir", "Directory for settings and logs.").Default(filepath.Join(os.TempDir(), "balsamgauge-soak")).String()
	actions[clause.FullCommand()] = func(ctx context.Context) error { return cmd.soak(ctx, opt, *runs, *dir) }
}

func (cmd *command) soak(ctx context.Context, opt soak.Options, runs int, dir string) (err error) {
	if opt.Processes < 1 || opt.Machines < 1 || runs < 1 {
		return &usageError{fmt.Errorf("%d runs with %d processes and %d machines: each must be at least 1", runs, opt.Processes, opt.Machines)}
	}
	if opt.Binary, err = os.Executable(); err != nil {
		return err
	}
	violated := false
	for range runs {
		opt.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", opt.Seed))
		rep, err := soak.Execute(ctx, opt)
		if err != nil {
			return err
		}
		violated = violated || len(rep.Violations) > 0
		if err := cmd.printSoak(opt, rep); err != nil {
			return err
		}
		if ctx.Err() != nil {
			break
		}
		opt.Seed++
	}
	if violated {
		return errViolation
	}
	return nil
}

func (cmd *command) printSoak(opt soak.Options, rep soak.Report) (err error) {
	_, err = fmt.Fprintf(cmd.out, "seed %d: %d faults, %d jobs accepted, %d runs of tasks, %d invariants violated\n", opt.Seed, len(rep.Faults), rep.Accepted, rep.Started, len(rep.Violations))
	if err != nil || len(rep.Violations) == 0 {
		return err
	}
	for _, fau := range rep.Faults {
		if _, err := fmt.Fprintln(cmd.out, "  ", fau); err != nil {
			return err
		}
	}
	for _, violation := range rep.Violations {
		if _, err := fmt.Fprintln(cmd.out, "  VIOLATION", violation); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(cmd.out, "   logs in %s\n", opt.Dir)
	return err
}
