package settings

import (
	"io"
	"net"
	"time"
)

// Daemon holds the settings common to all daemons.
type Daemon struct {
	ID        string
	Fleet     string
	Site      string
	Listen    string
	LogLevel  string
	LogFormat string
	OTLPURL   string
	// DrainLimit is how long a planned stop waits for requests in progress.
	DrainLimit time.Duration
	// Memory is the memory of the process in bytes, without weights.
	Memory int64
}

// Platform holds the addresses and credentials of the platform's services.
type Platform struct {
	TableURL     string
	Table        string
	ObjectURL    string
	Bucket       string
	Region       string
	AccessID     string
	SecretFile   string
	Secret       string
	LiveURL      string
	ListInterval time.Duration
}

// Box holds the settings of a box daemon.
type Box struct {
	Daemon         Daemon
	Platform       Platform
	Service        string
	Kind           string
	Advertise      string
	UpstreamURL    string
	ChecksFences   string
	ResumesStreams string
	Slots          int
	WeightsLimit   int64
	LinkRate       int64
}

// Entry holds the settings of an entry daemon.
type Entry struct {
	Daemon          Daemon
	Platform        Platform
	KeysFile        string
	QueueLimit      int
	DefaultDeadline time.Duration
	BodyLimit       int64
}

const (
	maxSlots = 100000
	maxQueue = 1000000
)

// LoadBox reads and validates the settings of a box. The error is a *FaultsError.
func LoadBox(path string) (Box, error) {
	var box Box
	faults := load(path, box.keys())
	faults = append(faults, box.Platform.readSecret(path)...)
	if box.Advertise == "" {
		box.Advertise = box.Daemon.Listen
	}
	if host, _, err := net.SplitHostPort(box.Advertise); err == nil && isUnspecified(host) {
		faults = append(faults, &Fault{
			File: path, Section: "box", Key: "advertise",
			Reason: "must be set because listen has no specific host address",
		})
	}
	if box.Kind == "plain" && box.WeightsLimit > 0 {
		faults = append(faults, &Fault{File: path, Section: "box", Key: "weights-limit", Reason: "must not be set with kind = plain, which has no weights"})
	}
	return box, faultsOrNil(faults)
}

// LoadEntry reads and validates the settings of an entry. The error is a *FaultsError.
func LoadEntry(path string) (Entry, error) {
	var entry Entry
	faults := load(path, entry.keys())
	faults = append(faults, entry.Platform.readSecret(path)...)
	return entry, faultsOrNil(faults)
}

// WriteExample writes an example settings file for a role.
func WriteExample(w io.Writer, role Role) error {
	if role == RoleBox {
		return writeExampleFile(w, role, new(Box).keys())
	}
	return writeExampleFile(w, role, new(Entry).keys())
}

func (b *Box) keys() []key {
	keys := append(b.Daemon.keys("box-1", "10.0.0.7:7400"), b.Platform.keys()...)
	return append(keys,
		nameKey("box", "service", "drafts", "Service of the fleet that the upstream offers.", &b.Service),
		choiceKey("box", "kind", "model", "What the upstream is: model or plain.", []string{"model", "plain"}, &b.Kind),
		urlKey("box", "upstream-url", "http://127.0.0.1:8000", "Where the upstream answers.", &b.UpstreamURL),
		optional(addressKey("box", "advertise", "10.0.0.7:7400", "Address at which other boxes and the upstream reach this daemon; else that of listen.", &b.Advertise)),
		choiceKey("box", "checks-fences", "yes", "Whether the upstream refuses orders with an older fence: yes or no.", []string{"yes", "no"}, &b.ChecksFences),
		choiceKey("box", "resumes", "no", "Whether the engine goes on with a broken-off stream after the events named in X-Resume-Events: yes or no.", []string{"yes", "no"}, &b.ResumesStreams),
		optional(countKey("box", "slots", "64", "Requests that the upstream takes at a time; else the entries decide.", 1, maxSlots, &b.Slots)),
		optional(withExample("80GiB", bytesKey("box", "weights-limit", "", "Memory for held weights, such as 80GiB; else no limit.", &b.WeightsLimit))),
		optional(withExample("12MB", bytesKey("box", "link-rate", "", "Bytes a second that the box's link carries, in and out together, so that chunks leave room for requests; else they are not paced.", &b.LinkRate))),
	)
}

func (e *Entry) keys() []key {
	keys := append(e.Daemon.keys("entry-1", "10.0.0.1:7300"), e.Platform.keys()...)
	return append(keys,
		fileKey("entry", "keys-file", "/etc/coralstair/keys", "File with the hashes of teams' and operators' keys (see coralstair keys).", &e.KeysFile),
		countKey("entry", "queue", "1000", "Requests of a service that may wait at this entry.", 1, maxQueue, &e.QueueLimit),
		durationKey("entry", "deadline", "60s", "Time for a request that names none.", &e.DefaultDeadline),
		bytesKey("entry", "body-limit", "8MiB", "Longest request body.", &e.BodyLimit),
	)
}

func (d *Daemon) keys(id, listen string) []key {
	return []key{
		nameKey("daemon", "id", id, "Name of this machine, as on the platform's live list.", &d.ID),
		nameKey("daemon", "fleet", "batbayar", "Fleet that this daemon works for.", &d.Fleet),
		nameKey("daemon", "site", "khovd", "Site (data centre) that it stands in.", &d.Site),
		addressKey("daemon", "listen", listen, "Address on which it listens.", &d.Listen),
		bytesKey("daemon", "memory", "512MiB", "Memory that the process may take up, weights not counted; clients may hold half of it.", &d.Memory),
		durationKey("daemon", "drain-limit", "10m", "How long a planned stop waits for the requests in progress.", &d.DrainLimit),
		choiceKey("daemon", "log-level", "info", "Least level that is logged: debug, info, warn or error.", []string{"debug", "info", "warn", "error"}, &d.LogLevel),
		choiceKey("daemon", "log-format", "auto", "Form of the log: text, json, or auto for text on a terminal and JSON otherwise.", []string{"auto", "text", "json"}, &d.LogFormat),
		optional(urlKey("daemon", "otlp-url", "http://10.0.0.2:4318", "Where traces are sent by OTLP over HTTP; else none are made.", &d.OTLPURL)),
	}
}

func (p *Platform) keys() []key {
	return []key{
		urlKey("platform", "table-url", "http://10.0.0.2:8000/table", "Table service (DynamoDB's protocol).", &p.TableURL),
		textKey("platform", "table", "coralstair", "Name of the table.", &p.Table),
		urlKey("platform", "object-url", "http://10.0.0.2:8000/objects", "Object store and origin of weights (S3's protocol).", &p.ObjectURL),
		textKey("platform", "bucket", "weights", "Name of the bucket.", &p.Bucket),
		textKey("platform", "region", "local", "Region with which calls are signed.", &p.Region),
		textKey("platform", "access-id", "coralstair", "Id of the platform's key pair.", &p.AccessID),
		fileKey("platform", "secret-file", "/etc/coralstair/platform-secret", "File with the secret of the key pair.", &p.SecretFile),
		urlKey("platform", "live-url", "http://10.0.0.2:8000/live", "List of live and leaving boxes.", &p.LiveURL),
		durationKey("platform", "list-interval", "2s", "How often the live list is read.", &p.ListInterval),
	}
}

func (p *Platform) readSecret(path string) []*Fault {
	if p.SecretFile == "" {
		return nil
	}
	secret, err := readSecret(p.SecretFile)
	if err == nil && secret != "" {
		p.Secret = secret
		return nil
	}
	reason := "contains no secret"
	if err != nil {
		reason = err.Error()
	}
	return []*Fault{{File: path, Section: "platform", Key: "secret-file", Reason: reason}}
}

func isUnspecified(host string) bool {
	ip := net.ParseIP(host)
	return host == "" || (ip != nil && ip.IsUnspecified())
}
