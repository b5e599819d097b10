/** Decides which fraction of calls may leave the failure domain of their instance. */
package org.knapweedcleat.core.locality;
