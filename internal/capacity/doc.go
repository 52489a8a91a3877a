// Package capacity measures how memory, processor time and message sizes grow with
// the size of a deployment, fits lines through the results and extrapolates them to
// the design size. The command mallowgap capacity writes the results to
// docs/CAPACITY.md.
package capacity
