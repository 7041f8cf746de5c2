// Package experiment runs named experiments with real node processes and
// writes a report with the seed, the revision of the code, the machine, and for
// each measure its target, its figure and that of a baseline in the same run.
package experiment
