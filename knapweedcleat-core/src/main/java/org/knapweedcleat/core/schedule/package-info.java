/** Which request runs when and where: admission, queueing, fairness and placement. */
package org.knapweedcleat.core.schedule;
