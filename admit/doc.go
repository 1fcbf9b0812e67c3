// Package admit decides which requests wait, which go next and which are
// refused at once: a bounded queue per service, with fair shares for the teams
// and order by priority and deadline within a team.
package admit
