package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/balsamgauge/balsamgauge/internal/demo"
	"github.com/balsamgauge/balsamgauge/internal/runner"
	"github.com/balsamgauge/balsamgauge/internal/settings"
	"github.com/balsamgauge/balsamgauge/internal/standin/fleet"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"github.com/sirupsen/logrus"
)

// addLocal adds the commands that need no running entry.
func (cmd *command) addLocal(app *kingpin.Application, actions map[string]action) {
	serve := app.Command("serve", "Run an entry. SIGTERM shuts it down gracefully.")
	settingsPath := serve.Flag("settings", "Settings file.").Required().String()
	actions[serve.FullCommand()] = func(ctx context.Context) error { return cmd.serve(ctx, *settingsPath) }

	check := app.Command("check", "Check the tables of routes and pools and list every error with its position.")
	routes, pools := tableFlags(check)
	actions[check.FullCommand()] = func(context.Context) error { return cmd.check(*routes, *pools) }

	demonstrate := app.Command("demo", "Run entries and stand-ins on loopback and check the invariants. Exits with 1 if one was violated.")
	double := demonstrate.Flag("double-runs", "Let the stand-ins run all work twice, to demonstrate that the checks fail.").Hidden().Bool()
	brief := demonstrate.Flag("brief", "Run only the first scene.").Bool()
	actions[demonstrate.FullCommand()] = func(ctx context.Context) error {
		return cmd.demo(ctx, demo.Options{DoubleRuns: *double, Brief: *brief})
	}
}

// addStandin adds the command that runs the stand-ins, against which entries can
// be run as separate processes.
func (cmd *command) addStandin(app *kingpin.Application, actions map[string]action) {
	clause := app.Command("standin", "Run stand-ins for the store, the platform and every VM of a table of pools, on loopback, until interrupted.")
	pools := clause.Flag("pools", "Table of pools.").Default("pools.toml").String()
	storeAddress := clause.Flag("store", "Listen address of the store.").Default("127.0.0.1:2379").String()
	listAddress := clause.Flag("vm-list", "Listen address of the list of VMs.").Default("127.0.0.1:2381").String()
	lag := clause.Flag("lag", "Delay until the list reports a change.").Default("2s").Duration()
	actions[clause.FullCommand()] = func(ctx context.Context) error {
		text, err := os.ReadFile(*pools)
		if err != nil {
			return &usageError{err}
		}
		tbs, err := table.ParsePools(*pools, text)
		if err != nil {
			return err
		}
		return cmd.standin(ctx, fleet.Options{
			StoreAddress: *storeAddress, ListAddress: *listAddress, ListLag: *lag, Pools: tbs.Pools,
		})
	}
}

func (cmd *command) standin(ctx context.Context, opt fleet.Options) error {
	fle, err := fleet.Start(opt)
	if err != nil {
		return err
	}
	defer fle.Stop()
	_, err = fmt.Fprintf(cmd.out, "%d VMs, store at %s, list of VMs at %s/vms\n", len(fle.AZs), fle.StoreURL, fle.ListURL)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// tableFlags adds the flags for the paths of both tables.
func tableFlags(clause *kingpin.CmdClause) (routes, pools *string) {
	routes = clause.Flag("routes", "Table of routes.").Default("routes.toml").String()
	pools = clause.Flag("pools", "Table of pools.").Default("pools.toml").String()
	return routes, pools
}

// serve runs an entry until the context is done, then shuts it down gracefully.
func (cmd *command) serve(ctx context.Context, path string) error {
	set, err := settings.Load(path)
	if err != nil {
		return &usageError{err}
	}
	logger := logrus.New()
	logger.SetOutput(cmd.err)
	if cmd.format == formatJSON {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	level, err := logrus.ParseLevel(set.LogLevel)
	if err != nil {
		return &usageError{err}
	}
	logger.SetLevel(level)
	rnr, err := runner.New(set, logger)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, rnr.Shutdown)
	defer stop()
	return rnr.Run()
}

func readTables(routes, pools string) (tbs table.Tables, err error) {
	routesText, err := os.ReadFile(routes)
	if err != nil {
		return table.Tables{}, &usageError{fmt.Errorf("read table of routes: %w", err)}
	}
	poolsText, err := os.ReadFile(pools)
	if err != nil {
		return table.Tables{}, &usageError{fmt.Errorf("read table of pools: %w", err)}
	}
	return table.Parse(routes, routesText, pools, poolsText)
}

func (cmd *command) check(routes, pools string) error {
	tbs, err := readTables(routes, pools)
	if err != nil {
		return err
	}
	return cmd.print(tbs, func() string {
		return fmt.Sprintf("%d teams, %d routes and %d pools are valid.", len(tbs.Teams), len(tbs.Routes), len(tbs.Pools))
	})
}

func (cmd *command) demo(ctx context.Context, opt demo.Options) error {
	if cmd.format == formatText {
		opt.Progress = func(stp demo.Step) { _, _ = fmt.Fprintf(cmd.err, "%6.1fs  %s\n", stp.AtSeconds, stp.Name) }
	}
	rep, err := demo.Run(ctx, opt)
	if err != nil {
		return err
	}
	if cmd.format == formatJSON {
		err = rep.WriteJSON(cmd.out)
	} else {
		err = rep.WriteText(cmd.out)
	}
	if err == nil && rep.Violated() {
		return errViolation
	}
	return err
}
