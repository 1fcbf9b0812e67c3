// Package membership follows the platform's lagging list of live and leaving boxes.
package membership
