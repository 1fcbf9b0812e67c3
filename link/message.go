package link

// Kind identifies the type of a message on the wire; numbers are never reused.
type Kind uint8

// The kinds of message.
const (
	KindHello Kind = iota + 1
	KindHeartbeat
	KindConfig
	KindRequest
	KindCancel
	KindCredit
	KindHead
	KindData
	KindEnd
	KindHave
	KindWant
	KindChunk
	KindDecline
	KindReport
	KindWantManifest
	KindManifest
	KindTarget
	KindFollow
	KindDeclared
	KindServers
	KindEntries
	KindQuarantineRecords
	KindRefusedRequests
	KindEvacuations
	KindDeclaredChange
	KindTeamUses
)

// Message is one typed message.
type Message interface{ Kind() Kind }

// emptyMessages returns an empty message of each kind.
var emptyMessages = map[Kind]func() Message{
	KindHello:             func() Message { return new(Hello) },
	KindHeartbeat:         func() Message { return new(Heartbeat) },
	KindConfig:            func() Message { return new(Config) },
	KindRequest:           func() Message { return new(Request) },
	KindCancel:            func() Message { return new(Cancel) },
	KindCredit:            func() Message { return new(Credit) },
	KindHead:              func() Message { return new(Head) },
	KindData:              func() Message { return new(Data) },
	KindEnd:               func() Message { return new(End) },
	KindHave:              func() Message { return new(Have) },
	KindWant:              func() Message { return new(Want) },
	KindChunk:             func() Message { return new(Chunk) },
	KindDecline:           func() Message { return new(Decline) },
	KindReport:            func() Message { return new(Report) },
	KindWantManifest:      func() Message { return new(WantManifest) },
	KindManifest:          func() Message { return new(Manifest) },
	KindTarget:            func() Message { return new(Target) },
	KindFollow:            func() Message { return new(Follow) },
	KindDeclared:          func() Message { return new(Declared) },
	KindServers:           func() Message { return new(Servers) },
	KindEntries:           func() Message { return new(Entries) },
	KindQuarantineRecords: func() Message { return new(QuarantineRecords) },
	KindRefusedRequests:   func() Message { return new(RefusedRequests) },
	KindEvacuations:       func() Message { return new(Evacuations) },
	KindDeclaredChange:    func() Message { return new(DeclaredChange) },
	KindTeamUses:          func() Message { return new(TeamUses) },
}

// newMessage returns an empty message of a kind, or nil if the kind is unknown.
func newMessage(kind Kind) Message {
	if empty, ok := emptyMessages[kind]; ok {
		return empty()
	}
	return nil
}
