// Package logging configures log output as text or JSON lines.
package logging
