// Package stricthttp makes HTTP requests and rejects responses that net/http accepts although RFC 9110 and RFC 9112 do not.
package stricthttp
