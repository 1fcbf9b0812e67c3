// Package bandwidth gives requests priority on a box's link: chunks of weights wait for the remaining bandwidth.
package bandwidth
