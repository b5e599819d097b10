/** Runs one request: its placements, stages, retries, resumes and cancels. */
package org.knapweedcleat.core.attempt;
