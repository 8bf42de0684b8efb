package lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: maps, lists, strings, longs, doubles, booleans and null. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object read(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.space();
    if (json.at != text.length()) {
      throw new IllegalArgumentException("trailing text at " + json.at);
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return text.isBlank() ? Map.of() : (Map<String, Object>) read(text);
  }

  static String quote(String text) {
    StringBuilder out = new StringBuilder("\"");
    for (char c : text.toCharArray()) {
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < ' ') {
        out.append(String.format("\\u%04x", (int) c));
      } else {
        out.append(c);
      }
    }
    return out.append('"').toString();
  }

  private void space() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private char next() {
    space();
    return text.charAt(at);
  }

  private Object value() {
    char c = next();
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      while (next() != '}') {
        String key = string();
        next();
        at++;
        map.put(key, value());
        if (next() == ',') {
          at++;
        }
      }
      at++;
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      while (next() != ']') {
        list.add(value());
        if (next() == ',') {
          at++;
        }
      }
      at++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && "+-.eE0123456789truefalsn".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
    String word = text.substring(start, at);
    switch (word) {
      case "true":
        return true;
      case "false":
        return false;
      case "null":
        return null;
      default:
        return word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    }
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    space();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(escaped);
      }
    }
    at++;
    return out.toString();
  }
}
