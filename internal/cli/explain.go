package cli

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"

	"github.com/spf13/cobra"
)

// explanation is why a request went where it went, as the front that handled
// it keeps it.
type explanation struct {
	RequestID string `json:"request_id"`
	Front     string `json:"front"`
	AtMS      int64  `json:"at_ms"`
	Admission *struct {
		Service  string  `json:"service"`
		Tenant   string  `json:"tenant"`
		Region   string  `json:"region"`
		Version  uint64  `json:"epoch"`
		PlanTerm uint64  `json:"plan_term"`
		Plan     uint64  `json:"plan"`
		Tokens   float64 `json:"tokens"`
		Passed   bool    `json:"passed"`
		Blend    float64 `json:"blend"`
		Prev     float64 `json:"prev"`
		Cur      float64 `json:"cur"`
		Recent   float64 `json:"recent"`
		Limit    float64 `json:"limit"`
		Marked   bool    `json:"marked"`
		Fault    string  `json:"fault"`
	} `json:"admission"`
	Routings []struct {
		Server     string  `json:"server"`
		Region     string  `json:"region"`
		Fault      string  `json:"fault"`
		WaitedMS   float64 `json:"waited_ms"`
		Candidates []struct {
			Server   string  `json:"server"`
			Score    float64 `json:"score"`
			Excluded string  `json:"excluded"`
		} `json:"candidates"`
	} `json:"routings"`
	Attempts []struct {
		Server       string  `json:"server"`
		Ended        string  `json:"ended"`
		Detail       string  `json:"detail"`
		Events       int     `json:"events"`
		FirstEventMS float64 `json:"first_event_ms"`
		TookMS       float64 `json:"took_ms"`
	} `json:"attempts"`
	Outcome *struct {
		Code   apierror.Code `json:"code"`
		Name   string        `json:"name"`
		Detail string        `json:"detail"`
		TookMS float64       `json:"took_ms"`
	} `json:"outcome"`
}

func (a *App) explain() *cobra.Command {
	l := &link{app: a}
	var format string
	command := &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Explain why a request went where it went",
		Long: `Explain why a request went where it went: admission with the tally's figures, the
epoch and plan that it was routed by, the servers that were considered with the
score of each and why others were left out, the attempts, and the outcome. The
id is the answer's header Stepwick-Request-Id. Any node finds the front that
handled the request; each front keeps its last few thousand.`,
		Example: "  stepwick explain 3f1c0a9e5b2d\n  stepwick explain 3f1c0a9e5b2d -o json",
		Args:    cobra.ExactArgs(1), ValidArgsFunction: noArgs,
		RunE: func(command *cobra.Command, args []string) error {
			body, err := l.get(command.Context(), controlPath+"explain/"+url.PathEscape(args[0]), nil)
			if err != nil {
				return err
			}
			if format == "json" {
				return a.printBody(body)
			}
			var e explanation
			if err := json.Unmarshal(body, &e); err != nil {
				return apierror.Errorf(apierror.BadAnswer, "%v", err)
			}
			return a.printExplanation(&e)
		},
	}
	l.register(command.Flags())
	output(command, &format, "text", "text", "json")
	return command
}

func (a *App) printExplanation(e *explanation) error {
	fmt.Fprintf(a.Out, "request %s, at front %s, %s\n", e.RequestID, e.Front, time.UnixMilli(e.AtMS).UTC().Format(clock.RFC3339Milli))
	if d := e.Admission; d != nil {
		fmt.Fprintf(a.Out, "\nadmission\n  service %s, tenant %s, from region %s\n  epoch %d, plan %d of term %d\n",
			d.Service, dash(d.Tenant), dash(d.Region), d.Version, d.Plan, d.PlanTerm)
		verdict := "passed"
		if !d.Passed {
			verdict = "refused"
		}
		if d.Fault != "" {
			verdict += ": " + d.Fault
		}
		fmt.Fprintf(a.Out, "  %s\n", verdict)
		if d.Limit > 0 {
			marked := ""
			if d.Marked {
				marked = "; the tenant is marked"
			}
			fmt.Fprintf(a.Out, "  %.0f tokens; limit %.0f a window, blend %.0f (previous window %.0f, this one %.0f), last window's span %.0f%s\n",
				d.Tokens, d.Limit, d.Blend, d.Prev, d.Cur, d.Recent, marked)
		}
	}
	for i, r := range e.Routings {
		goal := r.Server
		if r.Region != "" {
			goal += " in " + r.Region
		}
		if r.Fault != "" {
			goal = strings.TrimSpace(goal + " none: " + r.Fault)
		}
		fmt.Fprintf(a.Out, "\nrouting %d: %s (pending %.1f ms)\n", i+1, goal, r.WaitedMS)
		if len(r.Candidates) > 0 {
			t := a.table("  CANDIDATE", "SCORE", "LEFT OUT")
			for _, c := range r.Candidates {
				t.row("  "+c.Server, fmt.Sprintf("%.3f", c.Score), c.Excluded)
			}
			if err := t.print(); err != nil {
				return err
			}
		}
	}
	if len(e.Attempts) > 0 {
		fmt.Fprintln(a.Out, "\nattempts")
		t := a.table("  SERVER", "ENDED", "EVENTS", "FIRST EVENT", "TOOK", "DETAIL")
		for _, at := range e.Attempts {
			t.row("  "+at.Server, at.Ended, at.Events, ms(at.FirstEventMS), ms(at.TookMS), at.Detail)
		}
		if err := t.print(); err != nil {
			return err
		}
	}
	if o := e.Outcome; o != nil {
		fmt.Fprintf(a.Out, "\noutcome: %s (%d) after %s", o.Name, o.Code, ms(o.TookMS))
		if o.Detail != "" {
			fmt.Fprintf(a.Out, ": %s", o.Detail)
		}
		fmt.Fprintln(a.Out)
	} else {
		fmt.Fprintln(a.Out, "\noutcome: none yet")
	}
	return nil
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func ms(v float64) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f ms", v)
}
