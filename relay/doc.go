// Package relay carries callers' requests and their answers over a link between
// an entry and a box, matched by request id, with credit so that a slow reader
// holds back only its own answer.
package relay
