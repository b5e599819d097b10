/** Sends orders to the engines of the pools that are scheduled here. */
package org.knapweedcleat.router.order;
