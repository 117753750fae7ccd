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

const (
	plotWidth    = 8 * vg.Inch
	plotHeight   = 4 * vg.Inch
	plotBarWidth = 16 // points
)

// experiment holds the flags of the experiment command.
type experiment struct {
	site     string
	disabled []string // mechanisms
	ablate   bool
	seeds    int
	from     uint64
	scale    float64
	seconds  float64 // 0 for the site's default
	plotFile string
	burst    model.Burst
}

func experimentCommand() *cobra.Command {
	flags := &experiment{}
	command := &cobra.Command{
		Use:   "experiment",
		Short: "Compare server selection policies in virtual time, paired by seed",
		Long: `Compare server selection policies in virtual time, paired by seed.

Every front of a site runs the production code that selects servers; servers, links
and clients are simulated (sim/balance). Without flags the default policy is compared
with itself: --off names mechanisms to disable, --ablate disables each in turn.`,
		Example: "  rig experiment --site three-regions --off isolation --seeds 6\n  rig experiment --site two-regions --ablate",
		RunE:    func(cmd *cobra.Command, _ []string) error { return flags.run(cmd.OutOrStdout()) },
	}
	command.Flags().StringVar(&flags.site, "site", "three-regions", "three-regions or two-regions")
	command.Flags().StringSliceVar(&flags.disabled, "off", nil, "mechanisms disabled in the second policy")
	command.Flags().BoolVar(&flags.ablate, "ablate", false, "disable each mechanism in turn")
	command.Flags().IntVar(&flags.seeds, "seeds", 6, "number of seeds")
	command.Flags().Uint64Var(&flags.from, "from", 1, "first seed")
	command.Flags().Float64Var(&flags.scale, "scale", 1, "factor for the site's fronts, servers and load")
	command.Flags().Float64Var(&flags.seconds, "seconds", 0, "duration of a run in seconds; 0 for the site's default")
	command.Flags().StringVar(&flags.burst.Kind, "burst", "", "kind of requests whose rate rises temporarily")
	command.Flags().Float64Var(&flags.burst.Factor, "burst-times", 4, "factor by which the rate rises")
	command.Flags().Float64Var(&flags.burst.Start, "burst-at", 14, "start of the burst in seconds")
	command.Flags().Float64Var(&flags.burst.Duration, "burst-for", 8, "duration of the burst in seconds")
	command.Flags().StringVar(&flags.plotFile, "plot", "", "file for a plot of the differences in worth by seed (svg, png or pdf)")
	return command
}

func (e *experiment) run(out io.Writer) error {
	site, err := e.loadSite()
	if err != nil {
		return err
	}
	seeds := make([]uint64, e.seeds)
	for i := range seeds {
		seeds[i] = e.from + uint64(i)
	}
	if e.ablate {
		return printAblation(out, site, seeds)
	}
	disabled, err := balance.ParseDisabled(e.disabled)
	if err != nil {
		return err
	}
	label := strings.Join(e.disabled, ",")
	differences := model.Compare(site, model.Policy{Name: "all"}, model.Policy{Name: "without", Disabled: disabled}, seeds)
	if err := printDifferences(out, label, differences); err != nil {
		return err
	}
	if e.plotFile == "" {
		return nil
	}
	return plotValues(e.plotFile, label, differences[0])
}

// loadSite loads the site and applies the flags to it.
func (e *experiment) loadSite() (model.Site, error) {
	site, err := model.Load(e.site)
	if err != nil {
		return site, err
	}
	if e.scale <= 0 || e.seeds <= 0 {
		return site, errors.Errorf("scale %v and seeds %d must be above zero", e.scale, e.seeds)
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
	return site, nil
}

func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
}

func printDifferences(out io.Writer, label string, differences []model.Difference) error {
	table := newTable(out)
	_, _ = fmt.Fprintf(table, "figure\tall\twithout %s\tdifference\t95%%\t\n", label)
	for _, d := range differences {
		_, _ = fmt.Fprintf(table, "%s\t%.4g\t%.4g\t%+.4g\t±%.2g\t\n", d.Figure, d.A, d.B, d.Mean, d.HalfWidth)
	}
	return table.Flush()
}

// printAblation prints one line for each mechanism: the differences between the
// policy with all mechanisms and the one with only that mechanism disabled.
func printAblation(out io.Writer, site model.Site, seeds []uint64) error {
	table := newTable(out)
	_, _ = fmt.Fprintf(table, "off\tworth\t95%%\tworst windows\t95%%\t1,000 tokens read again\tMB between regions\tconnections\tservers out\t\n")
	for _, mechanism := range balance.Mechanisms {
		differences := model.Compare(site, model.Policy{}, model.Policy{Disabled: balance.Disabled{mechanism: true}}, seeds)
		value, worstWindows := differences[0], differences[1]
		_, _ = fmt.Fprintf(table, "%s\t%+.4f\t±%.4f\t%+.3f\t±%.3f\t",
			mechanism, -value.Mean, value.HalfWidth, -worstWindows.Mean, worstWindows.HalfWidth)
		for _, difference := range differences[2:6] {
			_, _ = fmt.Fprintf(table, "%+.4g\t", -difference.Mean)
		}
		_, _ = fmt.Fprintln(table)
	}
	return table.Flush()
}

// plotValues draws a bar chart of a difference by seed.
func plotValues(file, label string, difference model.Difference) error {
	p := plot.New()
	p.Title.Text = "with and without " + label
	p.X.Label.Text = "seed"
	p.Y.Label.Text = "difference in worth"
	values := make(plotter.Values, len(difference.Each))
	copy(values, difference.Each)
	bars, err := plotter.NewBarChart(values, vg.Points(plotBarWidth))
	if err != nil {
		return errors.Wrap(err, "draw plot")
	}
	p.Add(bars, plotter.NewGrid())
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}
