/** Load generator that limits its requests in flight and verifies each response. */
package org.knapweedcleat.standins.load;
