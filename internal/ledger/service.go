package ledger

import (
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"maps"
	"slices"
)

// publishDocument puts a document in force. An invalid document is refused on
// all nodes and the last valid one stays in force.
func (s *State) publishDocument(rec record.Record, b record.DocumentPublish) refusal {
	doc, problems := document.Parse(rec.Subject.Name+".toml", []byte(b.Text))
	if len(problems) > 0 {
		return refusal(truncate(problems.Error()))
	}
	if doc.Service != rec.Subject.Name {
		return refusef("the document is for service %q, the record for %q", doc.Service, rec.Subject.Name)
	}
	svc, ok := s.Services[doc.Service]
	if !ok {
		svc = &Service{}
		s.Services[doc.Service] = svc
	}
	svc.Head = Head{Revision: record.Revision(s.Offset), LastID: rec.ID}
	svc.Text = b.Text
	svc.Doc = doc
	svc.Author = rec.Author
	svc.PublishedAt = s.Now
	s.updateAccount(doc.Service)
	return allowed
}

// removeService removes a service. It is refused while VMs, jobs or a wave
// depend on the service: the pool must shrink to 0 first, so that every VM
// leaves by a drain.
func (s *State) removeService(rec record.Record) refusal {
	name := rec.Subject.Name
	svc, ok := s.Services[name]
	if !ok {
		return refusef("there is no service %s", name)
	}
	if n := len(s.poolVMs[name]); n > 0 {
		return refusef("pool %s still has %d VMs; publish size = 0 and wait until they have left", name, n)
	}
	if reason := s.checkUnreferenced(name); reason != allowed {
		return reason
	}
	delete(s.Services, svc.Doc.Service)
	s.retire(rec.Subject, Head{Revision: record.Revision(s.Offset), LastID: rec.ID})
	return allowed
}

// checkUnreferenced refuses to remove a service that jobs, drains or a wave
// refer to: the jobs would stay queued, the VMs released and the wave active
// forever.
func (s *State) checkUnreferenced(service string) refusal {
	if wave := s.activeWaveOf(service); wave != "" {
		return refusef("pool %s is in wave %s; wait for it or abort it", service, wave)
	}
	for _, id := range slices.Sorted(maps.Keys(s.poolJobs[service])) {
		if !s.Jobs[id].Ended() {
			return refusef("job %s of service %s is %s; cancel it first", id, service, s.Jobs[id].Status)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.VMs)) {
		if vm := s.VMs[id]; vm.Drain != nil && vm.Drain.Target == service {
			return refusef("VM %s is on its way to pool %s", id, service)
		}
	}
	return allowed
}
