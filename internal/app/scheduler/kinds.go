package scheduler

import "skylarkstall/internal/domain/pool"

// workerKind identifies workers of one kind.
type workerKind struct{ service, labels string }

// assignKind lets a worker share what is learned of its kind. The lock is held.
func (s *Scheduler) assignKind(w *pool.Worker) {
	info := w.Info()
	kind := workerKind{info.Service, info.Kind()}
	if s.kinds[kind] == nil {
		s.kinds[kind] = &pool.KindSpeed{}
	}
	w.SetKind(s.kinds[kind])
}
