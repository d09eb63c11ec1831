package schedule

import "teaselloft/internal/model/job"

// StatusFor returns the status of a job as the callers of an account see it. A job of another account is unknown to them.
func (s State) StatusFor(id job.ID, account string) JobStatus {
	if j, ok := s.job(id); ok && !s.isOpenTo(j, account) {
		return JobStatus{}
	}
	return s.Status(id)
}

// isOpenTo reports whether the callers of an account may see and cancel a job. Without accounts in the configuration there
// are no keys, so that every caller may.
func (s State) isOpenTo(j jobState, account string) bool {
	return j.sub.Account == "" || j.sub.Account == account || !s.config.HasAccounts()
}
