/** Sends orders to the engines of pools that this instance schedules. */
package org.knapweedcleat.router.order;
