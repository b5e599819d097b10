/** Decides what becomes of a forwarded call: send again, answer or give up. */
package org.knapweedcleat.core.forward;
