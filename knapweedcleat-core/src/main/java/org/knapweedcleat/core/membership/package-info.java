/** Which instances live, and which of them has which duty. */
package org.knapweedcleat.core.membership;
