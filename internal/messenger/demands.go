package messenger

import (
	"fmt"
	"hash/crc32"
	"math"
	"slices"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/registrar"
)

// PackedDemands is what the callers of one gateway ask of models, in a short form:
// with many models and stewards the names alone would fill a gateway's link.
type PackedDemands struct {
	NamesChecksum uint32      `json:"names"` // checksum of the model names that both sides must have
	Rows          [][]float64 `json:"rows"`  // place of the model among these, work, recent, sample and waiting work
}

// digits is the number of significant digits of a row's figures; the placement
// compares demands by larger steps.
const digits = 3

// rowLength is the length of a row without waiting work.
const rowLength = 4

// Pack shortens demands. Models that are not among the names are left out.
func Pack(names []registrar.ModelName, all []dispatcher.Demand) PackedDemands {
	d := PackedDemands{NamesChecksum: checksum(names), Rows: [][]float64{}}
	for _, x := range all {
		place, ok := slices.BinarySearch(names, x.Model)
		if !ok {
			continue
		}
		row := []float64{float64(place), shorten(x.WorkRate), shorten(x.RecentWorkRate), shorten(x.RecentRequests)}
		if x.WaitingWork > 0 {
			row = append(row, shorten(x.WaitingWork))
		}
		d.Rows = append(d.Rows, row)
	}
	return d
}

// Unpack returns the demands; names must be those that they were packed with.
func (d PackedDemands) Unpack(names []registrar.ModelName) ([]dispatcher.Demand, error) {
	if d.NamesChecksum != checksum(names) {
		return nil, fmt.Errorf("demands name other models than the configuration in force")
	}
	all := make([]dispatcher.Demand, 0, len(d.Rows))
	for _, row := range d.Rows {
		if len(row) < rowLength || row[0] < 0 || int(row[0]) >= len(names) {
			return nil, fmt.Errorf("demands have the unreadable row %v", row)
		}
		x := dispatcher.Demand{Model: names[int(row[0])], WorkRate: row[1], RecentWorkRate: row[2], RecentRequests: row[3]}
		if len(row) > rowLength {
			x.WaitingWork = row[rowLength]
		}
		all = append(all, x)
	}
	return all, nil
}

func checksum(names []registrar.ModelName) uint32 {
	sum := crc32.NewIEEE()
	for _, n := range names {
		// A hash takes all that is written to it.
		_, _ = sum.Write(append([]byte(n), 0))
	}
	return sum.Sum32()
}

// shorten rounds a figure to its first digits.
func shorten(x float64) float64 {
	if x == 0 {
		return 0
	}
	step := math.Pow(10, math.Floor(math.Log10(math.Abs(x)))-digits+1)
	if step < 1 {
		return math.Round(x*1/step) / math.Round(1/step)
	}
	return math.Round(x/step) * step
}
