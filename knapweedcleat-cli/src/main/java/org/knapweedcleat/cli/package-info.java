/** Operator command line: validates, compares and explains documents, and queries instances. */
package org.knapweedcleat.cli;
