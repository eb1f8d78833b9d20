package opcli

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/figreel/figreel/internal/config"
	"github.com/figreel/figreel/internal/docrev"
	"github.com/figreel/figreel/internal/oper"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
	"github.com/figreel/figreel/pkg/find"
)

const (
	// ExitError is the exit code of failures that have no code of their own.
	ExitError = 1
	// ExitFindings means that a document or settings file has validation findings.
	ExitFindings = 2
	// ExitConflict means that the base of a change is no longer the newest revision.
	ExitConflict = 3
	// ExitOutcomeUnknown means that a change may or may not have been accepted.
	ExitOutcomeUnknown = 4

	changeIDBytes = 12 // bytes of the digest that are used as a change's default id
)

const exitHelp = "\n\nExit codes: 0 done, 1 error, 2 findings, 3 conflict,\n" +
	"4 outcome unknown (run the same command again)."

// Commands returns the operator commands for the root command.
func Commands() []*cli.Command {
	return []*cli.Command{
		checkCommand(), applyCommand(), diffCommand(), promoteCommand(),
		historyCommand(), statusCommand(), drainCommand(), hostsCommand(),
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a document or host settings without contacting a host", ArgsUsage: "FILE",
		Description: "Reports every finding with file, line and field.\n\n" +
			"  figreel check production.yaml\n  figreel check --settings host.yaml" + exitHelp,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "settings", Usage: "FILE holds host settings"}, outputFlag(),
		},
		Action: withExitCode(func(_ context.Context, cmd *cli.Command) error {
			file, err := oneArg(cmd, "FILE")
			if err != nil {
				return err
			}
			if cmd.Bool("settings") {
				_, err = config.Load(file)
			} else {
				_, err = parseFile(file)
			}
			if err != nil {
				return err
			}
			return render(cmd, struct{}{}, func(p *printer) { p.printLine("no findings in %s", file) })
		}),
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "make a document the active one", ArgsUsage: "FILE",
		Description: "--base is the revision that the document was made from; if another change was accepted\n" +
			"meanwhile, nothing is applied and the command names it. The same command can be repeated safely.\n\n" +
			"  figreel history --show 41 > production.yaml\n  (edit production.yaml)\n" +
			"  figreel diff production.yaml\n  figreel apply --base 41 production.yaml\n\n" +
			"The first document of an environment has --base 0." + exitHelp,
		Flags: append(hostFlags(),
			&cli.Int64Flag{Name: "base", Usage: "`REVISION` that the document was made from", Required: true},
			&cli.StringFlag{Name: "change-id", Usage: "`ID` of the change (default: digest of base and document)"},
			authorFlag()),
		Action: withExitCode(func(ctx context.Context, cmd *cli.Command) error {
			file, err := oneArg(cmd, "FILE")
			if err != nil {
				return err
			}
			body, err := parseFile(file)
			if err != nil {
				return err
			}
			c, err := newClientFromFlags(cmd)
			if err != nil {
				return err
			}
			return c.apply(ctx, cmd, cmd.Int64("base"), body)
		}),
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show what a document would change", ArgsUsage: "FILE",
		Description: "Compares with the active document; list items are matched by name.\n\n" +
			"  figreel diff production.yaml" + exitHelp,
		Flags: hostFlags(),
		Action: withExitCode(func(ctx context.Context, cmd *cli.Command) error {
			file, err := oneArg(cmd, "FILE")
			if err != nil {
				return err
			}
			body, err := parseFile(file)
			if err != nil {
				return err
			}
			var out oper.DiffResponse
			if err := post(ctx, cmd, "/v1/diff", oper.CandidateDoc{Document: body}, &out); err != nil {
				return err
			}
			return render(cmd, out, func(p *printer) { p.printChanges(out) })
		}),
	}
}

func promoteCommand() *cli.Command {
	return &cli.Command{
		Name: "promote", Usage: "copy the document of another environment",
		Description: "Copies everything but callers, engines and upstreams, which belong to their environment,\n" +
			"from the environment of --from. Without --yes it only shows the changes. Comments are not kept.\n\n" +
			"  figreel promote --from http://127.0.0.1:8081 --host http://127.0.0.1:9081\n" +
			"  figreel promote --from http://127.0.0.1:8081 --host http://127.0.0.1:9081 --yes" + exitHelp,
		Flags: append(hostFlags(),
			&cli.StringSliceFlag{Name: "from", Usage: "`URL` of a host to copy from (repeatable)", Required: true},
			&cli.StringFlag{Name: "from-key-file", Usage: "`FILE` with the key for --from (default: the same key)"},
			&cli.BoolFlag{Name: "yes", Usage: "apply the changes"}, authorFlag()),
		Action: withExitCode(promote),
	}
}

func promote(ctx context.Context, cmd *cli.Command) error {
	keyFile := cmd.String("from-key-file")
	if keyFile == "" {
		keyFile = cmd.String("key-file")
	}
	from, err := newClient(cmd.StringSlice("from"), keyFile, cmd.String("ca-file"))
	if err != nil {
		return err
	}
	var source oper.DocumentRevision
	if err := from.do(ctx, http.MethodGet, "/v1/document", nil, &source); err != nil {
		return err
	}
	c, err := newClientFromFlags(cmd)
	if err != nil {
		return err
	}
	var out oper.DiffResponse
	if err := c.do(
		ctx, http.MethodPost, "/v1/promote", oper.CandidateDoc{Document: source.Document}, &out,
	); err != nil {
		return err
	}
	if cmd.Bool("yes") && len(out.Changes) > 0 {
		return c.apply(ctx, cmd, out.Base, out.Document)
	}
	return render(cmd, out, func(p *printer) { p.printChanges(out) })
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list accepted revisions, or print one",
		Description: "  figreel history --limit 5\n  figreel history --show 41 > production.yaml" + exitHelp,
		Flags: append(hostFlags(),
			&cli.IntFlag{Name: "limit", Usage: "number of revisions, at most 50", Value: 10},
			&cli.Int64Flag{Name: "show", Usage: "print the document of a `REVISION`"}),
		Action: withExitCode(func(ctx context.Context, cmd *cli.Command) error {
			if revision := cmd.Int64("show"); revision > 0 {
				var out oper.DocumentRevision
				if err := get(ctx, cmd, fmt.Sprintf("/v1/document?revision=%d", revision), &out); err != nil {
					return err
				}
				return renderDocument(cmd, out)
			}
			var out []docrev.HistoryEntry
			if err := get(ctx, cmd, fmt.Sprintf("/v1/history?limit=%d", cmd.Int("limit")), &out); err != nil {
				return err
			}
			return render(cmd, out, func(p *printer) { p.printHistory(out) })
		}),
	}
}

// Prints the document unchanged; tabs in it are not aligned as columns.
func renderDocument(cmd *cli.Command, d oper.DocumentRevision) error {
	if cmd.String("output") == "text" {
		_, err := io.WriteString(cmd.Root().Writer, d.Document)
		return err
	}
	return render(cmd, d, nil)
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show hosts, upstreams, models, copies and orders in doubt",
		Description: "  figreel status\n  figreel status --output json" + exitHelp,
		Flags:       hostFlags(),
		Action: withExitCode(func(ctx context.Context, cmd *cli.Command) error {
			var out oper.Status
			if err := get(ctx, cmd, "/v1/status", &out); err != nil {
				return err
			}
			return render(cmd, out, func(p *printer) { p.printStatus(out) })
		}),
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "stop new calls to an upstream, or shut down a host", ArgsUsage: "upstream|host NAME",
		Description: "Calls in flight finish. For a host, one --host must be the address of that host.\n\n" +
			"  figreel drain upstream engine-7\n  figreel drain --back upstream engine-7\n" +
			"  figreel drain host host-3" + exitHelp,
		Flags: append(hostFlags(), &cli.BoolFlag{Name: "back", Usage: "let an upstream take new calls again"}),
		Action: withExitCode(func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 2 {
				return errors.New("expected: drain upstream NAME, or drain host NAME")
			}
			req := oper.DrainRequest{Kind: cmd.Args().Get(0), Name: cmd.Args().Get(1), End: cmd.Bool("back")}
			if err := post(ctx, cmd, drainPath, req, &struct{}{}); err != nil {
				return err
			}
			return render(cmd, req, func(p *printer) { p.printLine("drain of %s %s accepted", req.Kind, req.Name) })
		}),
	}
}

func hostsCommand() *cli.Command {
	return &cli.Command{
		Name: "hosts", Usage: "list the hosts that a host knows of",
		Description: "  figreel hosts" + exitHelp,
		Flags:       hostFlags(),
		Action: withExitCode(func(ctx context.Context, cmd *cli.Command) error {
			var out []wire.Member
			if err := get(ctx, cmd, "/v1/hosts", &out); err != nil {
				return err
			}
			return render(cmd, out, func(p *printer) { p.printHosts(out) })
		}),
	}
}

// Proposes the document and prints the accepted revision. The default change id is a digest of base and body, so that
// the same command can be run again after an unknown outcome.
func (c *client) apply(ctx context.Context, cmd *cli.Command, base int64, body string) error {
	req := oper.ApplyRequest{ChangeID: cmd.String("change-id"), Author: authorName(cmd), Base: base, Document: body}
	if req.ChangeID == "" {
		sum := sha256.Sum256(fmt.Appendf(nil, "%d\n%s", base, body))
		req.ChangeID = hex.EncodeToString(sum[:changeIDBytes])
	}
	var out oper.ApplyResponse
	if err := c.do(ctx, http.MethodPost, applyPath, req, &out); err != nil {
		return err
	}
	return render(cmd, out, func(p *printer) { p.printLine("accepted as revision %d", out.Revision) })
}

func hostFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: "host", Usage: "operator `URL` of a host (repeatable; tried in turn)",
			Sources: cli.EnvVars("FIGREEL_HOSTS"),
		},
		&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the operator key (default: FIGREEL_KEY)"},
		&cli.StringFlag{Name: "ca-file", Usage: "`FILE` with the CA of the hosts"},
		outputFlag(),
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Usage: "json or text", Value: "text"}
}

func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: "author", Usage: "`NAME` to record with the change (default: the local user)"}
}

func authorName(cmd *cli.Command) string {
	if name := cmd.String("author"); name != "" {
		return name
	}
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func newClientFromFlags(cmd *cli.Command) (*client, error) {
	return newClient(cmd.StringSlice("host"), cmd.String("key-file"), cmd.String("ca-file"))
}

func get(ctx context.Context, cmd *cli.Command, path string, out any) error {
	c, err := newClientFromFlags(cmd)
	if err != nil {
		return err
	}
	return c.do(ctx, http.MethodGet, path, nil, out)
}

func post(ctx context.Context, cmd *cli.Command, path string, in, out any) error {
	c, err := newClientFromFlags(cmd)
	if err != nil {
		return err
	}
	return c.do(ctx, http.MethodPost, path, in, out)
}

func oneArg(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", errors.Errorf("expected one argument: %s", name)
	}
	return cmd.Args().First(), nil
}

func parseFile(file string) (string, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "read document")
	}
	_, err = envdoc.Parse(file, body)
	return string(body), err
}

// Wraps a command so that its errors are printed in the chosen format and returned with their exit code.
func withExitCode(run cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		err := run(ctx, cmd)
		if err == nil {
			return nil
		}
		if cmd.String("output") == "json" {
			_ = render(cmd, errorResponse(err), nil)
		}
		return cli.Exit(errorText(err), exitCode(err))
	}
}

func errorResponse(err error) *oper.ErrorResponse {
	var resp *oper.ErrorResponse
	var findings *find.List
	switch {
	case errors.As(err, &resp):
	case errors.As(err, &findings):
		resp = &oper.ErrorResponse{Code: oper.CodeFindings, Message: err.Error(), Findings: findings.Findings}
	default:
		resp = &oper.ErrorResponse{Code: oper.CodeFailed, Message: err.Error()}
	}
	return resp
}

func errorText(err error) string {
	resp := errorResponse(err)
	if len(resp.Findings) == 0 {
		return err.Error()
	}
	list := find.List{Findings: resp.Findings}
	return list.Error()
}

func exitCode(err error) int {
	switch errorResponse(err).Code {
	case oper.CodeFindings:
		return ExitFindings
	case oper.CodeConflict:
		return ExitConflict
	case oper.CodeOutcomeUnknown:
		return ExitOutcomeUnknown
	default:
		return ExitError
	}
}
