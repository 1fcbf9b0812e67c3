// Package pace lets live requests go first on a box's link: chunks of weights
// wait for what the link has left.
package pace
