// Package budget limits retries and hedges to a share of the successful calls, so that they cannot amplify an overload.
package budget
