package messenger

import (
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/converter"
	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/registrar"
)

// PackedDemands is the demand of one gateway's callers in a compact form. With many
// models and stewards, model names alone would saturate a gateway's network link.
type PackedDemands struct {
	NamesChecksum uint32      `json:"names" cbor:"1,keyasint"` // CRC-32 of the sorted model names of the sender's configuration
	Rows          [][]float64 `json:"rows" cbor:"2,keyasint"`  // per model: index of its name, WorkRate, RecentWorkRate, RecentRequests and, up to the last that is not zero, WaitingWork and Pace in milliseconds
}

// significantDigits is the precision of the numbers in a row. The placement of models
// distinguishes demands only by larger differences.
const significantDigits = 3

// maxPaces is the number of models whose paces are told.
const maxPaces = 32

// maxPaceMillis is the pace from which on a row tells none.
const maxPaceMillis = 1e6

// minRowLength is the length of a row without WaitingWork and Pace.
const minRowLength = 4

// Pack packs demands for a receiver with the same sorted names. It leaves out models that
// are not among them and rounds numbers to significantDigits.
func Pack(names []registrar.ModelName, all []dispatcher.Demand) PackedDemands {
	d := PackedDemands{NamesChecksum: checksum(names), Rows: [][]float64{}}
	leastPaced := leastWorkWithPace(all)
	for _, demand := range all {
		if demand.WorkRate < leastPaced {
			demand.Pace = 0
		}
		index, ok := slices.BinarySearch(names, demand.Model)
		if !ok {
			continue
		}
		row := []float64{float64(index), round(demand.WorkRate), round(demand.RecentWorkRate), round(demand.RecentRequests)}
		if demand.WaitingWork > 0 || demand.Pace > 0 {
			row = append(row, round(demand.WaitingWork))
		}
		if demand.Pace > 0 {
			row = append(row, packPace(demand.Pace))
		}
		d.Rows = append(d.Rows, row)
	}
	return d
}

// Unpack returns the demands. It fails if a row is invalid or if names are not those that
// the demands were packed with, which happens while the configurations of sender and
// receiver differ.
func (d PackedDemands) Unpack(names []registrar.ModelName) ([]dispatcher.Demand, error) {
	if d.NamesChecksum != checksum(names) {
		return nil, fmt.Errorf("demand report was packed with other model names than those in force")
	}
	all := make([]dispatcher.Demand, 0, len(d.Rows))
	for _, row := range d.Rows {
		odd := slices.ContainsFunc(row[:min(len(row), minRowLength+1)], func(x float64) bool { return !converter.Amount(x) })
		if odd || len(row) < minRowLength || row[0] >= float64(len(names)) {
			return nil, fmt.Errorf("invalid row %v in demand report", row)
		}
		demand := dispatcher.Demand{Model: names[int(row[0])], WorkRate: row[1], RecentWorkRate: row[2], RecentRequests: row[3]}
		if len(row) > minRowLength {
			demand.WaitingWork = row[minRowLength]
		}
		if len(row) > minRowLength+1 && row[minRowLength+1] > 0 && row[minRowLength+1] < maxPaceMillis {
			demand.Pace = time.Duration(row[minRowLength+1] * float64(time.Millisecond))
		}
		all = append(all, demand)
	}
	return all, nil
}

// leastWorkWithPace returns the work rate from which on the pace of a model is told: that of
// the maxPaces models with the most work. The plan depends little on the others.
func leastWorkWithPace(all []dispatcher.Demand) float64 {
	if len(all) <= maxPaces {
		return 0
	}
	rates := make([]float64, 0, len(all))
	for _, demand := range all {
		rates = append(rates, demand.WorkRate)
	}
	slices.Sort(rates)
	return rates[len(rates)-maxPaces]
}

// packPace returns a pace in milliseconds, rounded to a half, which a CBOR float of two
// bytes represents up to 1 s.
func packPace(pace time.Duration) float64 {
	return math.Round(max(1, 2*pace.Seconds()*1000)) / 2
}

// checksum returns the CRC-32 of the names, each followed by a zero byte.
func checksum(names []registrar.ModelName) uint32 {
	sum := crc32.NewIEEE()
	for _, n := range names {
		// Write to a hash never fails.
		_, _ = sum.Write(append([]byte(n), 0))
	}
	return sum.Sum32()
}

// round rounds a number to significantDigits.
func round(value float64) float64 {
	if value == 0 {
		return 0
	}
	step := math.Pow(10, math.Floor(math.Log10(math.Abs(value)))-significantDigits+1)
	if step < 1 {
		// Division by an integer gives the number closest to the decimal, which is short in
		// JSON; a multiple of a step such as 0.001 is inexact.
		return math.Round(value*1/step) / math.Round(1/step)
	}
	return math.Round(value/step) * step
}
