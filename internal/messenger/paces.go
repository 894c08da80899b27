package messenger

import (
	"hash/crc32"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/estimator"
)

// PackedPaces holds the paces of answers in a compact form: for each answer the CRC-32 of
// its runner's address and the ratio in percent.
type PackedPaces []uint32

// PackPaces packs paces.
func PackPaces(all []dispatcher.RunnerPace) PackedPaces {
	packed := make(PackedPaces, 0, 2*len(all))
	for _, p := range all {
		packed = append(packed, addressSum(p.Address), uint32(max(0, p.Ratio)))
	}
	return packed
}

// Of returns the ratios of the answers of the runner at an address.
func (p PackedPaces) Of(address string) []estimator.Percent {
	var ratios []estimator.Percent
	for sum := addressSum(address); len(p) >= 2; p = p[2:] {
		if p[0] == sum {
			ratios = append(ratios, estimator.Percent(p[1]))
		}
	}
	return ratios
}

func addressSum(address string) uint32 {
	return crc32.ChecksumIEEE([]byte(address))
}
