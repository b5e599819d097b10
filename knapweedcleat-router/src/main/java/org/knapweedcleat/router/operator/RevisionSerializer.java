package org.knapweedcleat.router.operator;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;
import org.knapweedcleat.core.id.Revision;

/** Serializes a revision as its number. */
final class RevisionSerializer extends StdSerializer<Revision> {

  RevisionSerializer() {
    super(Revision.class);
  }

  @Override
  public void serialize(Revision revision, JsonGenerator json, SerializerProvider provider)
      throws IOException {
    json.writeNumber(revision.number());
  }
}
