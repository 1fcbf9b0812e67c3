package membership

// Role is the daemon that a machine runs.
type Role string

// The roles of members.
const (
	RoleBox   Role = "box"
	RoleEntry Role = "entry"
)

// Member is one machine on the platform's list.
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
