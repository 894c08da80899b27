package driver

// minSlownessChange is the change of a runner's slowness that is logged, in percent.
const minSlownessChange = 20

// logSlowness logs the learned speed of the runner when it has changed. The caller holds
// syncer.mu.
func (s *Steward) logSlowness() {
	slowness := s.reconciler.Slowness()
	if change := slowness - s.loggedSlowness; max(change, -change) >= minSlownessChange {
		s.loggedSlowness = slowness
		s.cfg.Log.Logger.Info().Int("slowness", int(slowness)).Msg("runner speed learned")
	}
}
