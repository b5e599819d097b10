/** Finds the scheduler of a pool and keeps the schedulers that this instance runs. */
package org.knapweedcleat.router.placement;
