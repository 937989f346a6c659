package runner

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is a mean with its 95% confidence interval by Student's t-distribution.
type Estimate struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	N    int     `json:"n"` // number of samples
}

// EstimateMean returns the mean of samples. With fewer than two samples both ends of the interval are the mean.
func EstimateMean(x []float64) Estimate {
	e := Estimate{N: len(x)}
	if len(x) == 0 {
		return e
	}
	e.Mean = stat.Mean(x, nil)
	e.Low, e.High = e.Mean, e.Mean
	if len(x) == 1 {
		return e
	}
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(0.975) *
		stat.StdDev(x, nil) / math.Sqrt(float64(len(x)))
	e.Low, e.High = e.Mean-half, e.Mean+half
	return e
}

// PairedDifference returns the mean of b[i]-a[i], where i stands for a seed: the variation between seeds that a and b
// share cancels out.
func PairedDifference(a, b []float64) Estimate {
	differences := make([]float64, min(len(a), len(b)))
	for i := range differences {
		differences[i] = b[i] - a[i]
	}
	return EstimateMean(differences)
}

// Significant reports whether the interval excludes 0.
func (e Estimate) Significant() bool { return e.N > 1 && (e.Low > 0 || e.High < 0) }
