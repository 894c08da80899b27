package scheduler

import (
	"testing"

	"github.com/egretwall/egretwall/internal/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m, 200) }
