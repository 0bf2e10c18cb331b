package workload

// Vacancy is what its owner says of a worker that is to be emptied.
type Vacancy int

// The vacancies.
const (
	// Occupied is a worker that runs tasks, or may run some.
	Occupied Vacancy = iota
	// VacantUnseen is one that runs none and hasn't answered lately: its process may have
	// ended, and another one be on its VM by now.
	VacantUnseen
	// Vacant is one that has just answered, runs no task and gets none.
	Vacant
)
