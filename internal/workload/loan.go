package workload

// AmountsByWorkspace are parts of workspaces' caps, by the workspaces' names.
type AmountsByWorkspace map[string]Resources

// LoanRequest is sent by the owner of a partition, the borrower, to the owner of another, the lender.
// It states what the borrower still holds of the lender's allowances, and what it wants in addition.
type LoanRequest struct {
	Borrower      int   `json:"b"` // partition
	BorrowerEpoch int64 `json:"e"`
	// LenderEpoch is the lender's epoch in the last answer that the borrower got, 0 if it got none.
	// If it is not the lender's epoch, the request changes nothing and the answer only states it.
	LenderEpoch int64 `json:"l,omitempty"`
	Sequence    int64 `json:"n"` // rises with each request of the borrower's epoch to the lender
	// Held is what the borrower holds; a workspace that is missing holds nothing. The lender gets back
	// the rest of what it has lent.
	Held   AmountsByWorkspace `json:"h,omitempty"`
	Wanted AmountsByWorkspace `json:"w,omitempty"`
	// NeedsWholeCap are the workspaces of which the borrower wants the whole cap, for a task that
	// exceeds it.
	NeedsWholeCap []string `json:"a,omitempty"`
	// ConfigVersion is the configuration that the borrower uses, and Uncovered what its runs reserve
	// beyond its allowances.
	ConfigVersion int64              `json:"c,omitempty"`
	Uncovered     AmountsByWorkspace `json:"u,omitempty"`
}

// LoanResponse is the lender's answer.
type LoanResponse struct {
	LenderEpoch int64 `json:"l"`
	// Lent is what the lender has lent to the borrower in total, this request included.
	Lent AmountsByWorkspace `json:"a,omitempty"`
}

// Loans is the stored record of a partition's part in a workspace's cap.
type Loans struct {
	Workspace string            `json:"w"`
	Lent      map[int]Resources `json:"l,omitempty"` // by the borrowing partition
	// SettledCap is the cap that no partition exceeded when it was confirmed last, nil if none was.
	SettledCap *Resources `json:"s,omitempty"`
}
