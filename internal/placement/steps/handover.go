package steps

import (
	"maps"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Export returns the weights that have been learnt, for another leader.
func (p *Pressure) Export() *pb.PressureModel {
	model := &pb.PressureModel{}
	for _, serving := range slices.Sorted(maps.Keys(p.weights)) {
		e := p.weights[serving]
		for _, filling := range slices.Sorted(maps.Keys(e.index)) {
			i := e.index[filling]
			model.Pairs = append(model.Pairs, &pb.PressurePair{Service: serving, Filling: filling, Weight: e.mean[i], Variance: e.covariance[i][i]})
		}
	}
	return model
}

// Import starts from weights that another leader has learnt. What it knew of their common errors is not handed over.
func (p *Pressure) Import(model *pb.PressureModel) {
	for _, pair := range model.GetPairs() {
		e := p.estimate(pair.GetService())
		i := e.slot(pair.GetFilling())
		if i < 0 || pair.GetVariance() <= 0 {
			continue
		}
		e.mean[i], e.covariance[i][i] = pair.GetWeight(), pair.GetVariance()
	}
}
