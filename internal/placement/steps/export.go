package steps

import (
	"maps"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Export returns the learnt weights and their variances, for the next leader.
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

// Import replaces weights by those that another leader exported. Covariances between weights are not transferred.
func (p *Pressure) Import(model *pb.PressureModel) {
	for _, pair := range model.GetPairs() {
		e := p.estimatesFor(pair.GetService())
		i := e.slot(pair.GetFilling())
		if i < 0 || pair.GetVariance() <= 0 {
			continue
		}
		e.mean[i], e.covariance[i][i] = pair.GetWeight(), pair.GetVariance()
	}
}
