package membership

// Role says what a machine of the fleet runs.
type Role string

// The roles on the live list.
const (
	RoleBox   Role = "box"
	RoleEntry Role = "entry"
)

// Member is one machine on the platform's list of live and leaving boxes.
type Member struct {
	ID          string `json:"id"`
	Role        Role   `json:"role"`
	Fleet       string `json:"fleet"`
	Site        string `json:"site"`
	Address     string `json:"address"`
	Service     string `json:"service,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
}
