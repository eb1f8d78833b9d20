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

const columnGap = 2

// Writes text in columns.
type printer struct {
	w io.Writer
}

// Writes v as JSON, or lets text write it.
func show(cmd *cli.Command, v any, text func(*printer)) error {
	w := cmd.Root().Writer
	switch cmd.String("output") {
	case "json":
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	case "text":
		columns := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
		text(&printer{w: columns})
		return columns.Flush()
	default:
		return errors.Errorf("--output must be json or text, not %q", cmd.String("output"))
	}
}

func (p *printer) line(format string, args ...any) {
	p.text(fmt.Sprintf(format, args...) + "\n")
}

func (p *printer) text(s string) {
	_, _ = io.WriteString(p.w, s)
}

func (p *printer) changes(c oper.DiffResponse) {
	if len(c.Changes) == 0 {
		p.line("no changes to revision %d", c.Base)
		return
	}
	p.line("changes to revision %d:", c.Base)
	for _, change := range c.Changes {
		p.line("%s", change)
	}
}

func (p *printer) history(past []docrev.HistoryEntry) {
	p.line("REVISION\tTIME\tAUTHOR\tCHANGE")
	for _, r := range past {
		p.line("%d\t%s\t%s\t%s", r.Revision, r.Time.UTC().Format(time.RFC3339), r.Author, r.ChangeID)
	}
}

func (p *printer) hosts(hosts []wire.Member) {
	states := map[wire.MemberState]string{
		wire.Alive: "alive", wire.Suspect: "suspect", wire.Leaving: "leaving", wire.Dead: "dead",
	}
	p.line("HOST\tSTATE\tFAILURE DOMAIN\tADDRESS\tCALLER URL")
	for _, h := range hosts {
		p.line("%s\t%s\t%s\t%s\t%s", h.Name, states[h.State], h.Domain, h.Addr, h.CallerURL)
	}
}

func (p *printer) status(s oper.Status) {
	p.line("host %s, environment %s, failure domain %s", s.Host, s.Environment, s.FailureDomain)
	p.line("ready %t, leaving %t, calls in flight %d", s.Ready, s.Leaving, s.CallsInFlight)
	p.line("document revision %d", s.Config.Revision)
	if s.Config.Pending > 0 {
		p.line("revision %d is pending: %s", s.Config.Pending, s.Config.Reason)
	}
	p.line("\nUPSTREAM\tGROUP\tFAILURE DOMAIN\tSTATE\tRUNNING\tRESERVED/USABLE MB")
	for _, u := range s.Upstreams {
		p.line("%s\t%s\t%s\t%s\t%d\t%d/%d",
			u.Name, u.Group, u.FailureDomain, stateOf(u), u.Running, u.ReservedMB, u.UsableMB)
	}
	p.line("\nMODEL\tPOOL\tCOPIES/MINIMUM\tENGINES")
	for _, m := range s.Models {
		p.line("%s\t%s\t%d/%d\t%s", m.Name, m.Pool, len(m.Engines), m.MinCopies, strings.Join(m.Engines, ","))
	}
	p.line("\nORDER IN DOUBT\tENGINE\tITEM\tMB\tAGE")
	for _, o := range s.InDoubtOrders {
		p.line("%s\t%s\t%s\t%d\t%ds", o.Order, o.Engine, o.Item, o.MemoryMB, o.AgeS)
	}
	p.text("\n")
	p.hosts(s.Hosts)
}

func stateOf(u oper.Upstream) string {
	switch {
	case u.Leaving:
		return "leaving"
	case u.Up:
		return "up"
	default:
		return "down"
	}
}
