package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"stepwick/internal/decision/balance"

	model "stepwick/sim/balance"
)

// experiment is what the experiment command is asked for.
type experiment struct {
	site    string
	off     []string
	ablate  bool
	seeds   int
	from    uint64
	scale   float64
	seconds float64
	plot    string
	burst   model.Burst
}

func experimentCommand() *cobra.Command {
	e := &experiment{}
	c := &cobra.Command{Use: "experiment", Short: "Compare policies of choosing servers in virtual time, paired by seed",
		Long: `Compare policies of choosing servers in virtual time, paired by seed.

The choices are the product's own code for every front of a site; servers, links
and clients are modelled (sim/balance). Without flags all mechanisms are compared
with themselves: name those to be switched off, or ask for each in turn.`,
		Example: "  rig experiment --site three-regions --off isolation --seeds 6\n  rig experiment --site two-regions --ablate",
		RunE:    func(cmd *cobra.Command, _ []string) error { return e.run(cmd.OutOrStdout()) }}
	c.Flags().StringVar(&e.site, "site", "three-regions", "three-regions or two-regions")
	c.Flags().StringSliceVar(&e.off, "off", nil, "mechanisms that the second policy has switched off")
	c.Flags().BoolVar(&e.ablate, "ablate", false, "switch each mechanism off in turn")
	c.Flags().IntVar(&e.seeds, "seeds", 6, "number of seeds")
	c.Flags().Uint64Var(&e.from, "from", 1, "first seed")
	c.Flags().Float64Var(&e.scale, "scale", 1, "times the site's fronts, servers and load")
	c.Flags().Float64Var(&e.seconds, "seconds", 0, "length of a run; the site's own when zero")
	c.Flags().StringVar(&e.burst.Kind, "burst", "", "kind of requests that comes more often for a while")
	c.Flags().Float64Var(&e.burst.Times, "burst-times", 4, "how many times as often")
	c.Flags().Float64Var(&e.burst.At, "burst-at", 14, "from this second on")
	c.Flags().Float64Var(&e.burst.For, "burst-for", 8, "for so many seconds")
	c.Flags().StringVar(&e.plot, "plot", "", "file for a plot of the differences in worth by seed (svg, png or pdf)")
	return c
}

func (e *experiment) run(out io.Writer) error {
	site, err := model.Load(e.site)
	if err != nil {
		return err
	}
	if e.scale <= 0 || e.seeds <= 0 {
		return errors.New("scale and seeds must be above zero")
	}
	if e.scale != 1 {
		site = site.Scaled(e.scale)
	}
	if e.burst.Kind != "" {
		site.Burst = e.burst
	}
	if e.seconds > 0 {
		site.Seconds = e.seconds
	}
	seeds := make([]uint64, e.seeds)
	for i := range seeds {
		seeds[i] = e.from + uint64(i)
	}
	if e.ablate {
		return e.ablation(out, site, seeds)
	}
	off, err := balance.ParseDisabled(e.off)
	if err != nil {
		return err
	}
	all := model.Compare(site, model.Policy{Name: "all"}, model.Policy{Name: "without", Disabled: off}, seeds)
	if err := printDifferences(out, strings.Join(e.off, ","), all); err != nil {
		return err
	}
	if e.plot == "" {
		return nil
	}
	return plotWorth(e.plot, strings.Join(e.off, ","), all)
}

func printDifferences(out io.Writer, off string, all []model.Difference) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "figure\tall\twithout %s\tdifference\t95%%\t\n", off)
	for _, d := range all {
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%+.4g\t±%.2g\t\n", d.Figure, d.A, d.B, d.Mean, d.Within)
	}
	return w.Flush()
}

// ablation switches each mechanism off in turn.
func (e *experiment) ablation(out io.Writer, site model.Site, seeds []uint64) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "off\tworth\t95%%\tworst windows\t95%%\t1,000 tokens read again\tMB between regions\tconnections\tservers out\t\n")
	for _, mechanism := range balance.Mechanisms {
		all := model.Compare(site, model.Policy{}, model.Policy{Disabled: balance.Disabled{mechanism: true}}, seeds)
		worth, worst := all[0], all[1]
		fmt.Fprintf(w, "%s\t%+.4f\t±%.4f\t%+.3f\t±%.3f\t", mechanism, -worth.Mean, worth.Within, -worst.Mean, worst.Within)
		for _, d := range all[2:6] {
			fmt.Fprintf(w, "%+.4g\t", -d.Mean)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

func plotWorth(file, off string, all []model.Difference) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "with and without "+off, "seed", "difference in worth"
	values := make(plotter.Values, len(all[0].Each))
	copy(values, all[0].Each)
	bars, err := plotter.NewBarChart(values, vg.Points(16))
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	p.Add(bars, plotter.NewGrid())
	return errors.Wrap(p.Save(8*vg.Inch, 4*vg.Inch, file), "plot")
}
