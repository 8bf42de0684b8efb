import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reader and writer of the small JSON documents that the stand-ins exchange. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  /** Reads a document; objects become maps, arrays lists, integers Long. */
  static Object read(String text) {
    return new Json(text).value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    Object value = text.isBlank() ? new LinkedHashMap<String, Object>() : read(text);
    return (Map<String, Object>) value;
  }

  static long number(Map<String, Object> object, String field, long otherwise) {
    Object value = object.get(field);
    return value instanceof Number number ? number.longValue() : otherwise;
  }

  static String string(Map<String, Object> object, String field) {
    Object value = object.get(field);
    return value == null ? "" : value.toString();
  }

  /** Writes maps, lists, strings, numbers and booleans. */
  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      String separator = "{";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator).append('"').append(entry.getKey()).append("\":");
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append(map.isEmpty() ? "{}" : "}");
    } else if (value instanceof List<?> list) {
      String separator = "[";
      for (Object element : list) {
        out.append(separator);
        write(element, out);
        separator = ",";
      }
      out.append(list.isEmpty() ? "[]" : "]");
    } else if (value instanceof String string) {
      out.append('"').append(string.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
    } else {
      out.append(value);
    }
  }

  private Object value() {
    skip();
    char next = text.charAt(at);
    if (next == '{') {
      return map();
    }
    if (next == '[') {
      return list();
    }
    if (next == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    };
  }

  private Map<String, Object> map() {
    Map<String, Object> result = new LinkedHashMap<>();
    at++;
    skip();
    while (text.charAt(at) != '}') {
      String key = string();
      skip();
      at++;
      result.put(key, value());
      skip();
      if (text.charAt(at) == ',') {
        at++;
        skip();
      }
    }
    at++;
    return result;
  }

  private List<Object> list() {
    List<Object> result = new ArrayList<>();
    at++;
    skip();
    while (text.charAt(at) != ']') {
      result.add(value());
      skip();
      if (text.charAt(at) == ',') {
        at++;
        skip();
      }
    }
    at++;
    return result;
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char next = text.charAt(at++);
      if (next == '\\') {
        char escaped = text.charAt(at++);
        switch (escaped) {
          case 'n' -> out.append('\n');
          case 't' -> out.append('\t');
          case 'u' -> {
            out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
            at += 4;
          }
          default -> out.append(escaped);
        }
      } else {
        out.append(next);
      }
    }
    at++;
    return out.toString();
  }

  private void skip() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }
}
