package rawhttp

import "strings"

// interim is a valid interim response.
const interim = "HTTP/1.1 102 Processing\n\n"

// invalidHeads are responses with invalid heads; the first line of each that is only a percent sign stands for further fields.
var invalidHeads = map[string]string{
	"status 000":                                 "HTTP/1.1 000 OK\n%\nContent-Length: 5\n\nhello",
	"status 000 without a body":                  "HTTP/1.1 000 OK\n%\nContent-Length: 0\n\n",
	"status 099":                                 "HTTP/1.1 099 OK\n%\nContent-Length: 5\n\nhello",
	"status 101 without an upgrade":              "HTTP/1.1 101 Switching\n%\nConnection: Upgrade\nUpgrade: x\n\nhello",
	"status 600":                                 "HTTP/1.1 600 OK\n%\nContent-Length: 5\n\nhello",
	"status 999":                                 "HTTP/1.1 999 OK\n%\nContent-Length: 5\n\nhello",
	"status with a sign":                         "HTTP/1.1 +20 OK\n%\nContent-Length: 5\n\nhello",
	"status of four digits":                      "HTTP/1.1 2000 OK\n%\nContent-Length: 5\n\nhello",
	"control byte in the reason":                 "HTTP/1.1 200 O\x01K\n%\nContent-Length: 5\n\nhello",
	"version 0.9":                                "HTTP/0.9 200 OK\n%\nContent-Length: 5\n\nhello",
	"version 2.0":                                "HTTP/2.0 200 OK\n%\nContent-Length: 5\n\nhello",
	"another protocol":                           "ICAP/1.0 200 OK\n%\nContent-Length: 5\n\nhello",
	"blank before a colon":                       "HTTP/1.1 200 OK\n%\nOther : x\nContent-Length: 5\n\nhello",
	"blank in a name":                            "HTTP/1.1 200 OK\n%\nOther Name: x\nContent-Length: 5\n\nhello",
	"blank in the name of the length":            "HTTP/1.1 200 OK\n%\nContent-Length : 5\n\nhello",
	"blank in the name of the coding":            "HTTP/1.1 200 OK\n%\nTransfer-Encoding : chunked\n\n5\nhello\n0\n\n",
	"control byte in a name":                     "HTTP/1.1 200 OK\n%\nOth\x01er: x\nContent-Length: 5\n\nhello",
	"tab before a colon":                         "HTTP/1.1 200 OK\n%\nOther\t: x\nContent-Length: 5\n\nhello",
	"separator in a name":                        "HTTP/1.1 200 OK\n%\nOth(er: x\nContent-Length: 5\n\nhello",
	"byte over 127 in a name":                    "HTTP/1.1 200 OK\n%\nOth\xc3\xa9r: x\nContent-Length: 5\n\nhello",
	"empty name":                                 "HTTP/1.1 200 OK\n%\n: x\nContent-Length: 5\n\nhello",
	"line without a colon":                       "HTTP/1.1 200 OK\n%\nOther\nContent-Length: 5\n\nhello",
	"blank before the first field":               "HTTP/1.1 200 OK\n Other: x\n%\nContent-Length: 5\n\nhello",
	"control byte in a value":                    "HTTP/1.1 200 OK\n%\nOther: a\x00b\nContent-Length: 5\n\nhello",
	"carriage return in a value":                 "HTTP/1.1 200 OK\n%\nOther: a\rb\nContent-Length: 5\n\nhello",
	"coding in version 1.0":                      "HTTP/1.0 200 OK\n%\nTransfer-Encoding: chunked\n\n5\nhello\n0\n\n",
	"coding and length in version 1.0":           "HTTP/1.0 200 OK\n%\ntransfer-encoding: chunked\nContent-Length: 5\n\n5\nhello\n0\n\n",
	"coding in version 1.0 after an interim one": interim + "HTTP/1.0 200 OK\n%\nTransfer-Encoding: chunked\n\n5\nhello\n0\n\n",
	"unknown coding":                             "HTTP/1.1 200 OK\n%\nTransfer-Encoding: gzip\n\nhello",
	"chunked before another coding":              "HTTP/1.1 200 OK\n%\nTransfer-Encoding: chunked, gzip\n\n5\nhello\n0\n\n",
	"chunked twice":                              "HTTP/1.1 200 OK\n%\nTransfer-Encoding: chunked\nTransfer-Encoding: chunked\n\n5\nhello\n0\n\n",
	"coding without a body":                      "HTTP/1.1 204 No Content\n%\nTransfer-Encoding: chunked\n\n",
	"coding and length":                          "HTTP/1.1 200 OK\n%\nContent-Length: 3\nTransfer-Encoding: chunked\n\n5\nhello\n0\n\n",
	"length without a body":                      "HTTP/1.1 204 No Content\n%\nContent-Length: 5\n\nhello",
	"two lengths":                                "HTTP/1.1 200 OK\n%\nContent-Length: 5\nContent-Length: 4\n\nhello",
	"length with a sign":                         "HTTP/1.1 200 OK\n%\nContent-Length: +5\n\nhello",
	"negative length":                            "HTTP/1.1 200 OK\n%\nContent-Length: -5\n\nhello",
	"empty length":                               "HTTP/1.1 200 OK\n%\nContent-Length:\n\nhello",
	"blank in a name of an interim response":     "HTTP/1.1 103 Early\nOther : x\n\nHTTP/1.1 200 OK\n%\nContent-Length: 5\n\nhello",
	"interim responses without end":              strings.Repeat(interim, 100) + "HTTP/1.1 200 OK\n%\nContent-Length: 5\n\nhello",
}

// InvalidHeads returns responses by name whose heads are invalid by RFC 9110 or RFC 9112, with further header fields such as "Name: value".
func InvalidHeads(fields ...string) map[string]string {
	responses := make(map[string]string, len(invalidHeads))
	for name, text := range invalidHeads {
		responses[name] = withFields(text, fields)
	}
	return responses
}

// ValidHead is a response whose head is unusual but valid. It ends with its connection if it has no length.
type ValidHead struct {
	Response string
	Status   int
	Body     string
}

// ValidHeads returns responses by name whose heads are unusual but valid, with further header fields.
func ValidHeads(fields ...string) map[string]ValidHead {
	const length = "Content-Length: 5\n\nhello"
	heads := map[string]ValidHead{
		"version 1.0 with a length":     {"HTTP/1.0 200 OK\n%\n" + length, 200, "hello"},
		"version 1.0 without a length":  {"HTTP/1.0 200 OK\n%\n\nhello", 200, "hello"},
		"no length":                     {"HTTP/1.1 200 OK\n%\n\nhello", 200, "hello"},
		"no reason":                     {"HTTP/1.1 200\n%\n" + length, 200, "hello"},
		"equal lengths":                 {"HTTP/1.1 200 OK\n%\nContent-Length: 5\n" + length, 200, "hello"},
		"length in other case":          {"HTTP/1.1 200 OK\n%\ncontent-LENGTH: 5\n\nhello", 200, "hello"},
		"symbols in a name":             {"HTTP/1.1 200 OK\n%\n!#$%&'*+-.^_`|~: x\n" + length, 200, "hello"},
		"folded value":                  {"HTTP/1.1 200 OK\n%\nOther: a\n b\n" + length, 200, "hello"},
		"bytes over 127 in a value":     {"HTTP/1.1 200 OK\n%\nOther: \xc3\xa9\n" + length, 200, "hello"},
		"empty value":                   {"HTTP/1.1 200 OK\n%\nOther:\n" + length, 200, "hello"},
		"chunked in other case":         {"HTTP/1.1 200 OK\n%\nTransfer-Encoding: Chunked\n\n5\nhello\n0\n\n", 200, "hello"},
		"interim response":              {"HTTP/1.1 103 Early\nLink: x\n\nHTTP/1.1 200 OK\n%\n" + length, 200, "hello"},
		"two interim responses":         {"HTTP/1.1 100 Continue\n\n" + interim + "HTTP/1.1 200 OK\n%\n" + length, 200, "hello"},
		"unknown status of a success":   {"HTTP/1.1 299 Odd\n%\n" + length, 299, "hello"},
		"unknown status of a failure":   {"HTTP/1.1 499 Odd\n%\n" + length, 499, "hello"},
		"no content":                    {"HTTP/1.1 204 No Content\n%\n\n", 204, ""},
		"no content and a length of 0":  {"HTTP/1.1 204 No Content\n%\nContent-Length: 0\n\n", 204, ""},
		"coding named in another field": {"HTTP/1.0 200 OK\n%\nX-Transfer-Encoding: chunked\n" + length, 200, "hello"},
		"coding named in the body":      {"HTTP/1.0 200 OK\n%\n\nTransfer-Encoding: chunked\n\n", 200, "Transfer-Encoding: chunked\r\n\r\n"},
	}
	for name, head := range heads {
		head.Response = withFields(head.Response, fields)
		heads[name] = head
	}
	return heads
}

// withFields inserts header fields into a response and ends its lines as HTTP does.
func withFields(text string, fields []string) string {
	insert := strings.Join(fields, "\n")
	if insert != "" {
		insert += "\n"
	}
	return strings.ReplaceAll(strings.Replace(text, "%\n", insert, 1), "\n", "\r\n")
}
