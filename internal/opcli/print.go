package opcli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/figreel/figreel/internal/docrev"
	"github.com/figreel/figreel/internal/oper"
	"github.com/figreel/figreel/internal/wire"
)

const columnPadding = 2 // spaces between columns

// Writes the text output of commands; tabs separate columns.
type printer struct {
	w io.Writer
}

// Prints v in the format that --output names: as JSON, or as text in columns, which the function text writes.
func render(cmd *cli.Command, v any, text func(*printer)) error {
	w := cmd.Root().Writer
	switch cmd.String("output") {
	case "json":
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	case "text":
		columns := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
		text(&printer{w: columns})
		return columns.Flush()
	default:
		return errors.Errorf("--output must be json or text, not %q", cmd.String("output"))
	}
}

func (p *printer) printLine(format string, args ...any) {
	p.printText(fmt.Sprintf(format, args...) + "\n")
}

func (p *printer) printText(s string) {
	_, _ = io.WriteString(p.w, s)
}

func (p *printer) printChanges(c oper.DiffResponse) {
	if len(c.Changes) == 0 {
		p.printLine("no changes to revision %d", c.Base)
		return
	}
	p.printLine("changes to revision %d:", c.Base)
	for _, change := range c.Changes {
		p.printLine("%s", change)
	}
}

func (p *printer) printHistory(entries []docrev.HistoryEntry) {
	p.printLine("REVISION\tTIME\tAUTHOR\tCHANGE")
	for _, e := range entries {
		p.printLine("%d\t%s\t%s\t%s", e.Revision, e.Time.UTC().Format(time.RFC3339), e.Author, e.ChangeID)
	}
}

func (p *printer) printHosts(hosts []wire.Member) {
	states := map[wire.MemberState]string{
		wire.Alive: "alive", wire.Suspect: "suspect", wire.Leaving: "leaving", wire.Dead: "dead",
	}
	p.printLine("HOST\tSTATE\tFAILURE DOMAIN\tADDRESS\tCALLER URL")
	for _, h := range hosts {
		p.printLine("%s\t%s\t%s\t%s\t%s", h.Name, states[h.State], h.Domain, h.Addr, h.CallerURL)
	}
}

func (p *printer) printStatus(s oper.Status) {
	p.printLine("host %s, environment %s, failure domain %s", s.Host, s.Environment, s.FailureDomain)
	p.printLine("ready %t, leaving %t, calls in flight %d", s.Ready, s.Leaving, s.CallsInFlight)
	p.printLine("document revision %d", s.Config.Revision)
	if s.Config.Pending > 0 {
		p.printLine("revision %d is pending: %s", s.Config.Pending, s.Config.Reason)
	}
	p.printLine("\nUPSTREAM\tGROUP\tFAILURE DOMAIN\tSTATE\tRUNNING\tRESERVED/USABLE MB")
	for _, u := range s.Upstreams {
		p.printLine("%s\t%s\t%s\t%s\t%d\t%d/%d",
			u.Name, u.Group, u.FailureDomain, upstreamState(u), u.Running, u.ReservedMB, u.UsableMB)
	}
	p.printLine("\nMODEL\tPOOL\tCOPIES/MINIMUM\tENGINES")
	for _, m := range s.Models {
		p.printLine("%s\t%s\t%d/%d\t%s", m.Name, m.Pool, len(m.Engines), m.MinCopies, strings.Join(m.Engines, ","))
	}
	p.printLine("\nORDER IN DOUBT\tENGINE\tITEM\tMB\tAGE")
	for _, o := range s.InDoubtOrders {
		p.printLine("%s\t%s\t%s\t%d\t%ds", o.Order, o.Engine, o.Item, o.MemoryMB, o.AgeS)
	}
	p.printText("\n")
	p.printHosts(s.Hosts)
}

func upstreamState(u oper.Upstream) string {
	switch {
	case u.Leaving:
		return "leaving"
	case u.Up:
		return "up"
	default:
		return "down"
	}
}
