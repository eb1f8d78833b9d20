package replay

import (
	"image/color"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/figreel/figreel/internal/trace"
)

// plotBinS is the time in seconds over which the share of short calls is averaged.
const plotBinS = 5.0

// Plot saves a plot of the share of short calls that met their targets over time, with one line for the policy and one
// for each baseline. The format follows the extension of file.
func (r *Report) Plot(workload *trace.Workload, file string) error {
	p := plot.New()
	p.Title.Text = "Short interactive calls within their targets"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "share"
	p.Y.Min, p.Y.Max = 0, 1
	colors := []color.RGBA{
		{0, 90, 180, 255}, {200, 80, 0, 255}, {0, 130, 60, 255}, {120, 120, 120, 255}, {150, 0, 130, 255},
	}
	for i, name := range []string{"policy", "round robin", "least loaded", "static placement", "reactive LRU"} {
		line, err := plotter.NewLine(r.attainmentShares(workload, name))
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		line.Color = colors[i]
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return errors.Wrap(p.Save(20*vg.Centimeter, 10*vg.Centimeter, file), "save plot")
}

func (r *Report) attainmentShares(workload *trace.Workload, name string) plotter.XYs {
	bins := int(workload.DurationS/plotBinS) + 1
	all, ok := make([]int, bins), make([]int, bins)
	for _, row := range r.Rows {
		if row.Name != name {
			continue
		}
		for _, o := range row.Result.Outcomes {
			if !IsShort(workload, *o.Call) {
				continue
			}
			b := min(int(o.Call.AtMS/1000/plotBinS), bins-1)
			all[b]++
			if o.Attained {
				ok[b]++
			}
		}
	}
	var out plotter.XYs
	for b := range all {
		if all[b] > 0 {
			out = append(out, plotter.XY{X: float64(b) * plotBinS, Y: float64(ok[b]) / float64(all[b])})
		}
	}
	return out
}
