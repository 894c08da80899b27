package relayer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/dispatcher"
)

func TestStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reports := 0
		s := newStall(dispatcher.Send{First: time.Second, Gap: 300 * time.Millisecond}, func() { reports++ })
		time.Sleep(900 * time.Millisecond)
		s.progress()
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		require.Zero(t, reports)
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, 2, reports, "after the gap, and after another one")
		s.stop()
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, 2, reports)
	})
}
