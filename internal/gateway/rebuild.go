package gateway

// Rebuild applies the current catalog and fleet to the targets. It must be called after each change of either,
// and does nothing until both have been read. Changes of the two come on different goroutines: the one that is
// applied last must have read the newest of both.
func (s *Server) Rebuild() {
	s.rebuilding.Lock()
	defer s.rebuilding.Unlock()
	c, f := s.catalog.Catalog(), s.parts.Directory.Snapshot()
	if c == nil || f == nil {
		return
	}
	s.reportInvalidHomes(c)
	s.applyReserves(c)
	s.targets.rebuild(c, f)
	s.metrics.Set("catalog.version", int64(c.Version()))
	for model, open := range s.targets.openGroups() {
		s.metrics.Set("groups.open."+model, int64(open))
	}
}
