package org.knapweedcleat.router.peer;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.TreeNode;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.id.ServiceId;

/**
 * Encodes a service without a limit for cold endpoints as builds do that know of none, since these
 * reject longer arrays.
 */
final class ServiceProfileFormat {

  private static final int UNLIMITED_COMPONENTS = 3;

  private ServiceProfileFormat() {}

  record Unlimited(ServiceId service, int maxConnections, EngineProfile engine) {}

  record Limited(
      ServiceId service,
      int maxConnections,
      EngineProfile engine,
      double coldPerSecond,
      long coldStartMillis) {}

  static SimpleModule module() {
    return new SimpleModule()
        .addSerializer(ServiceProfile.class, new Serializer())
        .addDeserializer(ServiceProfile.class, new Deserializer());
  }

  private static final class Serializer extends JsonSerializer<ServiceProfile> {
    @Override
    public void serialize(
        ServiceProfile profile, JsonGenerator generator, SerializerProvider serializers)
        throws IOException {
      boolean isLimited = profile.coldPerSecond() != 0 || profile.coldStartMillis() != 0;
      generator.writeObject(
          isLimited
              ? new Limited(
                  profile.service(),
                  profile.maxConnections(),
                  profile.engine(),
                  profile.coldPerSecond(),
                  profile.coldStartMillis())
              : new Unlimited(profile.service(), profile.maxConnections(), profile.engine()));
    }
  }

  private static final class Deserializer extends JsonDeserializer<ServiceProfile> {
    @Override
    public ServiceProfile deserialize(JsonParser parser, DeserializationContext context)
        throws IOException {
      TreeNode components = parser.readValueAsTree();
      if (components.size() == UNLIMITED_COMPONENTS) {
        Unlimited unlimited = parser.getCodec().treeToValue(components, Unlimited.class);
        return new ServiceProfile(
            unlimited.service(), unlimited.maxConnections(), unlimited.engine());
      }
      Limited limited = parser.getCodec().treeToValue(components, Limited.class);
      return new ServiceProfile(
          limited.service(),
          limited.maxConnections(),
          limited.engine(),
          limited.coldPerSecond(),
          limited.coldStartMillis());
    }
  }
}
