package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/balsamgauge/balsamgauge/internal/adminclient"
	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/runner"
	"github.com/balsamgauge/balsamgauge/internal/timeline"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// defaultAdmin is the admin address of the first entry in the examples.
const defaultAdmin = "127.0.0.1:8301"

// addRemote adds the commands that connect to running entries.
func (cmd *command) addRemote(app *kingpin.Application, actions map[string]action) {
	var add registrar = func(clause *kingpin.CmdClause, act action) {
		clause.Flag("admin", "Admin address of an entry; may be repeated.").Default(defaultAdmin).StringsVar(&cmd.admins)
		clause.Flag("operator-key", "The operators' credential.").Envar(credentialVariable).StringVar(&cmd.credential)
		actions[clause.FullCommand()] = act
	}
	diff := app.Command("diff", "Show what applying the tables would change.")
	diffRoutes, diffPools := tableFlags(diff)
	add(diff, func(ctx context.Context) error { return cmd.diff(ctx, *diffRoutes, *diffPools) })

	apply := app.Command("apply", "Apply the tables.")
	applyRoutes, applyPools := tableFlags(apply)
	base := apply.Flag("base", "Revision on which the tables are based; refused if they were changed since. 0 means any.").Int64()
	add(apply, func(ctx context.Context) error { return cmd.apply(ctx, *applyRoutes, *applyPools, *base) })

	add(app.Command("get", "Print the current tables, as TOML or JSON."), cmd.get)

	grant := app.Command("grant", "Grant a key to a team. The key is shown once.")
	grantName := grant.Arg("name", "Name of the key.").Required().String()
	team := grant.Arg("team", "Team that the key acts for.").Required().String()
	add(grant, func(ctx context.Context) error {
		return cmd.change(func(cli *adminclient.Client) (runner.ChangeResponse, error) { return cli.Grant(ctx, *grantName, *team) })
	})

	withdraw := app.Command("withdraw", "Withdraw a key.")
	withdrawName := withdraw.Arg("name", "Name of the key.").Required().String()
	add(withdraw, func(ctx context.Context) error {
		return cmd.change(func(cli *adminclient.Client) (runner.ChangeResponse, error) { return cli.Withdraw(ctx, *withdrawName) })
	})

	zone := app.Command("zone", "Take an availability zone out, or back in.")
	cmd.addZone(add, zone, "out", "Take an availability zone out.", true)
	cmd.addZone(add, zone, "in", "Take an availability zone back in.", false)

	forget := app.Command("forget", "Declare that a voting member is guaranteed not to run any more, so that the others can continue without its vote.")
	member := forget.Arg("member", "ID of the member, as printed by status.").Required().String()
	add(forget, func(ctx context.Context) error {
		if _, err := cmd.entry().Forget(ctx, *member); err != nil {
			return err
		}
		_, err := fmt.Fprintf(cmd.out, "%s no longer counts towards any majority and will be removed.\n", *member)
		return err
	})

	add(app.Command("status", "Show the state of the fleet as each given entry sees it."), cmd.status)

	timelineClause := app.Command("timeline", "Merge the latest events of all given entries into one time line.")
	add(timelineClause, cmd.timeline)
}

// registrar registers a command that connects to entries, with the flags that
// all these commands share.
type registrar func(clause *kingpin.CmdClause, act action)

// addZone adds a subcommand that takes an availability zone out or back in.
func (cmd *command) addZone(add registrar, zone *kingpin.CmdClause, name, help string, out bool) {
	clause := zone.Command(name, help)
	az := clause.Arg("az", "Availability zone.").Required().String()
	add(clause, func(ctx context.Context) error {
		return cmd.change(func(cli *adminclient.Client) (runner.ChangeResponse, error) { return cli.SetAZ(ctx, *az, out) })
	})
}

// entry returns a client for the first of the given entries.
func (cmd *command) entry() *adminclient.Client {
	return adminclient.New(cmd.admins[0], cmd.credential)
}

// change requests a change from the first entry and prints its response.
func (cmd *command) change(request func(*adminclient.Client) (runner.ChangeResponse, error)) error {
	rsp, err := request(cmd.entry())
	if err != nil {
		return err
	}
	return cmd.print(rsp, func() string {
		text := fmt.Sprintf("Accepted as revision %d.", rsp.Revision)
		if rsp.Key != "" {
			text += "\nKey (not shown again): " + rsp.Key
		}
		return text
	})
}

func (cmd *command) diff(ctx context.Context, routes, pools string) error {
	tbs, err := readTables(routes, pools)
	if err != nil {
		return err
	}
	cfg, err := cmd.entry().Config(ctx)
	if err != nil {
		return err
	}
	dfs := table.Diff(cfg.Tables, tbs)
	return cmd.print(dfs, func() string {
		if len(dfs) == 0 {
			return fmt.Sprintf("No difference from revision %d.", cfg.Revision)
		}
		lines := []string{fmt.Sprintf("Differences from revision %d:", cfg.Revision)}
		for _, dif := range dfs {
			lines = append(lines, fmt.Sprintf("%s %s", dif.Action, dif.Part))
			if dif.Old != "" {
				lines = append(lines, "  - "+dif.Old)
			}
			if dif.New != "" {
				lines = append(lines, "  + "+dif.New)
			}
		}
		return strings.Join(lines, "\n")
	})
}

func (cmd *command) apply(ctx context.Context, routes, pools string, base int64) error {
	tbs, err := readTables(routes, pools)
	if err != nil {
		return err
	}
	return cmd.change(func(cli *adminclient.Client) (runner.ChangeResponse, error) { return cli.Apply(ctx, tbs, base) })
}

func (cmd *command) get(ctx context.Context) error {
	cfg, err := cmd.entry().Config(ctx)
	if err != nil {
		return err
	}
	if cmd.format == formatJSON {
		return cmd.printJSON(cfg)
	}
	routes, pools, err := cfg.Tables.Format()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.out, "# Revision %d. Table of routes:\n%s\n# Table of pools:\n%s", cfg.Revision, routes, pools)
	return err
}

func (cmd *command) status(ctx context.Context) error {
	var all []effect.Status
	for _, admin := range cmd.admins {
		sts, err := adminclient.New(admin, cmd.credential).Status(ctx)
		if err != nil {
			return err
		}
		all = append(all, sts)
	}
	return cmd.print(all, func() string {
		var text strings.Builder
		for _, sts := range all {
			writeStatus(&text, sts)
		}
		return strings.TrimRight(text.String(), "\n")
	})
}

func writeStatus(out io.Writer, sts effect.Status) {
	_, _ = fmt.Fprintf(out, "%s in %s: revision %d, fresh %t, voting %t, leaving %t, tasks %d, AZs out %v\n",
		sts.ID, sts.AZ, sts.Revision, sts.Fresh, sts.Voting, sts.Leaving, sts.Tasks, sts.AZsOut)
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, "  member\taz\tlive\tvoting\trevision")
	for _, mem := range sts.Members {
		_, _ = fmt.Fprintf(tab, "  %s\t%s\t%t\t%t\t%d\n", mem.ID, mem.AZ, mem.Live, mem.Voting, mem.Revision)
	}
	_, _ = fmt.Fprintln(tab, "  pool\tdispatcher\tVMs\tusable\tslots\twaiting\trunning")
	for _, poo := range sts.Pools {
		_, _ = fmt.Fprintf(tab, "  %s\t%s\t%d\t%d\t%d\t%d\t%d\n", poo.Pool, poo.Dispatcher, poo.VMs, poo.UsableVMs, poo.Slots, poo.Waiting, poo.Running)
	}
	_, _ = fmt.Fprintln(tab, "  team\tlimit\tpermits\trunning\tin debt")
	for _, tea := range sts.Teams {
		_, _ = fmt.Fprintf(tab, "  %s\t%d\t%d\t%d\t%t\n", tea.Team, tea.Limit, tea.Permits, tea.Running, tea.InDebt)
	}
	_ = tab.Flush()
}

func (cmd *command) timeline(ctx context.Context) error {
	var lists [][]timeline.Event
	for _, admin := range cmd.admins {
		evts, err := adminclient.New(admin, cmd.credential).Timeline(ctx)
		if err != nil {
			return err
		}
		lists = append(lists, evts)
	}
	evts := timeline.Merge(lists...)
	if cmd.format == formatJSON {
		return timeline.WriteJSON(cmd.out, evts)
	}
	return timeline.WriteText(cmd.out, evts)
}

// print writes val as JSON, or text in the text format.
func (cmd *command) print(val any, text func() string) error {
	if cmd.format == formatJSON {
		return cmd.printJSON(val)
	}
	_, err := fmt.Fprintln(cmd.out, text())
	return err
}

func (cmd *command) printJSON(val any) error {
	enc := json.NewEncoder(cmd.out)
	enc.SetIndent("", "  ")
	return enc.Encode(val)
}
