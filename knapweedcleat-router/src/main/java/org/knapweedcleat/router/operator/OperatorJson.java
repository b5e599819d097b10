package org.knapweedcleat.router.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.util.List;
import java.util.Locale;
import org.knapweedcleat.core.audit.AuditEvent;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.InstanceId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.Revision;

/** Serializes data for operators as JSON; IDs become strings. */
final class OperatorJson {

  private static final List<Class<?>> ID_TYPES =
      List.of(
          AccountId.class,
          EndpointId.class,
          FailureDomainId.class,
          IncarnationId.class,
          InstanceId.class,
          PoolId.class);
  private static final ObjectMapper MAPPER = mapper();

  private OperatorJson() {}

  static String toJsonLine(InstanceStatus status) {
    return write(MAPPER.valueToTree(status));
  }

  static String toJsonLine(AuditEntry entry) {
    return write(toNode(entry));
  }

  static String toJsonLine(AuditPage page) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("next", page.next()).put("missed", page.missed());
    page.entries().forEach(entry -> node.withArray("/entries").add(toNode(entry)));
    node.withArray("/entries");
    return write(node);
  }

  private static ObjectNode toNode(AuditEntry entry) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("number", entry.number()).put("atMillis", entry.atMillis());
    node.put("kind", kindOf(entry.event()));
    node.setAll((ObjectNode) MAPPER.valueToTree(entry.event()));
    return node;
  }

  /** Returns the kind of an event, in upper snake case. */
  private static String kindOf(AuditEvent event) {
    String words = event.getClass().getSimpleName().replaceAll("(?<=[a-z])(?=[A-Z])", "_");
    return words.toUpperCase(Locale.ROOT);
  }

  private static String write(ObjectNode node) {
    try {
      return MAPPER.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize a JSON tree", e);
    }
  }

  private static ObjectMapper mapper() {
    SimpleModule module = new SimpleModule();
    ID_TYPES.forEach(id -> module.addSerializer(id, ToStringSerializer.instance));
    module.addSerializer(Revision.class, new RevisionSerializer());
    return new ObjectMapper().registerModule(module);
  }
}
