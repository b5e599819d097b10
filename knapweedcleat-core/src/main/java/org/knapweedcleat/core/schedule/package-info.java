/** Request scheduling: admission, fair queueing and placement on endpoints. */
package org.knapweedcleat.core.schedule;
