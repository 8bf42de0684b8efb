import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, numbers and booleans, and writes them. Stateless. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  /** Reads an object. */
  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    Json reader = new Json(text);
    Object value = reader.value();
    reader.skipSpace();
    if (!(value instanceof Map) || reader.at != text.length()) {
      throw new IllegalArgumentException("not a JSON object: " + text);
    }
    return (Map<String, Object>) value;
  }

  /** Returns an integer field, or a default where it is absent. */
  static long number(Map<String, Object> object, String field, long defaultValue) {
    Object value = object.get(field);
    return value instanceof Number number ? number.longValue() : defaultValue;
  }

  /** Writes a value. */
  static String write(Object value) {
    if (value instanceof Map<?, ?> map) {
      List<String> fields = new ArrayList<>();
      map.forEach((key, each) -> fields.add(write(key.toString()) + ":" + write(each)));
      return "{" + String.join(",", fields) + "}";
    }
    if (value instanceof Iterable<?> list) {
      List<String> elements = new ArrayList<>();
      list.forEach(each -> elements.add(write(each)));
      return "[" + String.join(",", elements) + "]";
    }
    if (value instanceof String string) {
      return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
    }
    return String.valueOf(value);
  }

  private Object value() {
    skipSpace();
    char first = text.charAt(at);
    if (first == '{') {
      return map();
    }
    if (first == '[') {
      return list();
    }
    if (first == '"') {
      return string();
    }
    return literal();
  }

  private Map<String, Object> map() {
    Map<String, Object> result = new LinkedHashMap<>();
    at++;
    skipSpace();
    while (text.charAt(at) != '}') {
      skipSpace();
      String key = string();
      skipSpace();
      at++;
      result.put(key, value());
      skipComma();
    }
    at++;
    return result;
  }

  private List<Object> list() {
    List<Object> result = new ArrayList<>();
    at++;
    skipSpace();
    while (text.charAt(at) != ']') {
      result.add(value());
      skipComma();
    }
    at++;
    return result;
  }

  private String string() {
    StringBuilder result = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char next = text.charAt(at++);
      if (next != '\\') {
        result.append(next);
        continue;
      }
      char escaped = text.charAt(at++);
      if (escaped == 'u') {
        result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
        at += 4;
      } else {
        int position = "nrtbf".indexOf(escaped);
        result.append(position < 0 ? escaped : "\n\r\t\b\f".charAt(position));
      }
    }
    at++;
    return result.toString();
  }

  private Object literal() {
    int start = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default ->
          word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : Double.parseDouble(word);
    };
  }

  private void skipSpace() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private void skipComma() {
    skipSpace();
    if (text.charAt(at) == ',') {
      at++;
      skipSpace();
    }
  }
}
